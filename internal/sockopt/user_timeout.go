// Package sockopt sets options of TCP sockets.
package sockopt

import (
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a net.Dialer's Control function that sets TCP_USER_TIMEOUT: the
// kernel closes a connection on which sent data stays unacknowledged for d.
func UserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var setErr error
		err := c.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d/time.Millisecond))
		})
		if err != nil {
			return fmt.Errorf("set socket options: %w", err)
		}
		return setErr
	}
}
