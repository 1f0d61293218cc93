package sockopt

import (
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"
)

// SendBuffer returns a Control that sets SO_SNDBUF, also for the connections that a listener
// accepts. Zero bytes leave the buffer to the kernel.
func SendBuffer(bytes int) Control {
	return func(_, _ string, c syscall.RawConn) error {
		if bytes == 0 {
			return nil
		}
		var setErr error
		err := c.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bytes)
		})
		if err != nil {
			return fmt.Errorf("set socket options: %w", err)
		}
		return setErr
	}
}
