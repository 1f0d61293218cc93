package sockopt

import (
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"
)

// MaxSegment returns a Control that sets TCP_MAXSEG, the largest segment in bytes that the peers
// of a listener may send. A segment larger than the receive buffer makes a peer wait for its
// kernel's timer of 0.2 s before it sends a part of it.
func MaxSegment(bytes int) Control {
	return func(_, _ string, c syscall.RawConn) error {
		var setErr error
		err := c.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, bytes)
		})
		if err != nil {
			return fmt.Errorf("set socket options: %w", err)
		}
		return setErr
	}
}
