package crowd

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

const (
	// visits is how often each client of a crowd connects, if its connection is closed.
	visits = 3
	// sendTime is how long a test waits until all clients have sent what they send, and
	// stayTime how long the crowd stays after that before anything is checked.
	sendTime = 3 * time.Second
	stayTime = time.Second
	// dialTimeout bounds the start of a connection.
	dialTimeout = 2 * time.Second
)

// clients is a crowd of clients that stay connected until it is closed.
type clients struct {
	address string
	// send sends what the n-th client of the crowd sends. It ends early if the connection fails.
	send func(c net.Conn, n int)
	// reads is set if the clients read what they are sent.
	reads bool

	stop chan struct{}
	sent sync.WaitGroup
	all  sync.WaitGroup

	mu     sync.Mutex
	closed bool
	conns  map[net.Conn]bool
	opened int
}

// start connects n clients and waits until they have sent, for a bounded time.
func (c *clients) start(n int) {
	c.stop, c.conns = make(chan struct{}), make(map[net.Conn]bool)
	for i := range n {
		c.sent.Add(1)
		c.all.Go(func() { c.run(i) })
	}
	sent := make(chan struct{})
	go func() { c.sent.Wait(); close(sent) }()
	select {
	case <-sent:
	case <-time.After(sendTime):
	}
	time.Sleep(stayTime)
}

func (c *clients) run(n int) {
	first := sync.OnceFunc(c.sent.Done)
	defer first()
	for range visits {
		conn, err := net.DialTimeout("tcp4", c.address, dialTimeout)
		if err != nil {
			continue
		}
		if !c.add(conn) {
			return
		}
		c.send(conn, n)
		first()
		if c.reads {
			_, _ = io.Copy(io.Discard, conn)
		} else {
			<-c.stop
		}
		c.remove(conn)
	}
}

func (c *clients) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return false
	}
	c.conns[conn] = true
	c.opened++
	return true
}

func (c *clients) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
	_ = conn.Close()
}

// counts returns how many connections have been opened, and how many are not known to be
// closed.
func (c *clients) counts() (opened, open int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened, len(c.conns)
}

// close disconnects the crowd and waits until it has ended.
func (c *clients) close() {
	c.mu.Lock()
	c.closed = true
	close(c.stop)
	for conn := range c.conns {
		// A reset leaves no connection behind in the kernel.
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.all.Wait()
}

// endure lets n clients misuse a port of a VM and checks that it lives, stays within its memory and
// descriptors, and serves ordinary requests while the clients are connected.
func endure(t *testing.T, v *vm, at port, n int, c *clients) {
	t.Helper()
	c.address = v.address(at)
	u := measure(t, v.process, v.ports()...)
	c.start(n)
	err := v.served()
	opened, open := c.counts()
	u.end()
	c.close()
	t.Logf("%d clients, %d connections, %d still open; resident %.1f MB before, %.1f MB at most; unread %.1f MB at most; sum %.1f of %d MB at most; descriptors %d of %d at most",
		n, opened, open, mb(u.start), mb(u.resident), mb(u.unread), mb(u.memory), v.memoryMB, u.descriptors, v.descriptors)
	if !v.lives() {
		t.Errorf("%s has ended", v.name)
	}
	if err != nil {
		t.Errorf("ordinary request beside the crowd: %v", err)
	}
	if u.memory > int64(v.memoryMB)<<20 {
		t.Errorf("%.1f MB resident and unread, of %d MB", mb(u.memory), v.memoryMB)
	}
	if most := v.descriptors - fileDescriptors - upstreamDescriptors; u.descriptors > most {
		t.Errorf("%d descriptors open, want %d at most", u.descriptors, most)
	}
	if u.start == 0 || u.resident == 0 || u.descriptors == 0 || opened == 0 {
		t.Error("nothing was measured")
	}
}

func mb(n int64) float64 { return float64(n) / (1 << 20) }
