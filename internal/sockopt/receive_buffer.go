package sockopt

import (
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"
)

// Control is the type of a net.Dialer's Control function.
type Control func(network, address string, c syscall.RawConn) error

// ReceiveBuffer returns a Control that sets SO_RCVBUF, which has to precede the connection
// for the window to be scaled to it. Zero bytes leave the buffer to the kernel.
func ReceiveBuffer(bytes int) Control {
	return func(_, _ string, c syscall.RawConn) error {
		if bytes == 0 {
			return nil
		}
		var setErr error
		err := c.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
		})
		if err != nil {
			return fmt.Errorf("set socket options: %w", err)
		}
		return setErr
	}
}

// All returns a Control that applies several.
func All(controls ...Control) Control {
	return func(network, address string, c syscall.RawConn) error {
		for _, f := range controls {
			if err := f(network, address, c); err != nil {
				return err
			}
		}
		return nil
	}
}
