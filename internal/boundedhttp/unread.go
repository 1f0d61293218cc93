package boundedhttp

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// unread reports whether the kernel holds bytes from the client that were not read.
func (c *conn) unread() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		if unread, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ); err == nil {
			n = unread
		}
	})
	return err == nil && n > 0
}
