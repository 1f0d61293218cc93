package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections and can delay, hold or reset them.
type proxy struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	pairs map[net.Conn]net.Conn
	// delay is added to each chunk.
	delay time.Duration
	// held stops data to the target (0) and from the target (1).
	held    [2]bool
	changed *sync.Cond
}

// newProxy returns a proxy that listens at an address. The caller sets the target
// before the first connection.
func newProxy(address string) (*proxy, error) {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, pairs: make(map[net.Conn]net.Conn)}
	p.changed = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.ln.Addr().String() }

func (p *proxy) accept() {
	for {
		near, err := p.ln.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp4", p.target)
		if err != nil {
			near.Close()
			continue
		}
		p.mu.Lock()
		p.pairs[near] = far
		p.mu.Unlock()
		go p.forward(near, far, 0, near)
		go p.forward(far, near, 1, near)
	}
}

func (p *proxy) forward(from, to net.Conn, direction int, key net.Conn) {
	defer func() {
		from.Close()
		to.Close()
		p.mu.Lock()
		delete(p.pairs, key)
		p.mu.Unlock()
	}()
	chunk := make([]byte, 16<<10)
	for {
		n, err := from.Read(chunk)
		if n > 0 {
			p.wait(direction)
			if _, err := to.Write(chunk[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				reset(to)
			}
			return
		}
	}
}

// wait waits until a chunk may be forwarded.
func (p *proxy) wait(direction int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.held[direction] {
		p.changed.Wait()
	}
	if d := p.delay; d > 0 {
		p.mu.Unlock()
		time.Sleep(d)
		p.mu.Lock()
	}
}

func (p *proxy) set(delay time.Duration, toTarget, fromTarget bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.held = delay, [2]bool{toTarget, fromTarget}
	p.changed.Broadcast()
}

// reset resets every connection.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for near, far := range p.pairs {
		reset(near)
		reset(far)
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

func (p *proxy) close() {
	p.ln.Close()
	p.set(0, false, false)
	p.reset()
}
