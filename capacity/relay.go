package main

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
)

// maxDatagram is the largest UDP datagram that a relay forwards, in bytes.
const maxDatagram = 64 << 10

// relay forwards UDP datagrams between clients and one server and counts datagrams
// and bytes.
type relay struct {
	server  *net.UDPAddr
	conn    *net.UDPConn
	bytes   atomic.Int64
	packets atomic.Int64
	running sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	clients map[string]*net.UDPConn
}

// newRelay starts a relay to the server. The caller closes it.
func newRelay(server string) (*relay, error) {
	to, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		return nil, fmt.Errorf("resolve server address: %w", err)
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	r := &relay{server: to, conn: conn, clients: make(map[string]*net.UDPConn)}
	r.running.Go(r.forward)
	return r, nil
}

func (r *relay) address() string { return r.conn.LocalAddr().String() }

// close closes all sockets and waits until forwarding has stopped.
func (r *relay) close() {
	r.mu.Lock()
	r.closed = true
	for _, c := range r.clients {
		_ = c.Close()
	}
	r.mu.Unlock()
	_ = r.conn.Close()
	r.running.Wait()
}

// forward forwards datagrams from the clients to the server.
func (r *relay) forward() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := r.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		out, err := r.client(from)
		if err != nil {
			return
		}
		r.count(n)
		_, _ = out.Write(buffer[:n])
	}
}

// client returns the socket that sends a client's datagrams to the server, and
// opens it for a new client.
func (r *relay) client(from *net.UDPAddr) (*net.UDPConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.clients[from.String()]; ok {
		return c, nil
	}
	if r.closed {
		return nil, net.ErrClosed
	}
	c, err := net.DialUDP("udp", nil, r.server)
	if err != nil {
		return nil, fmt.Errorf("dial server: %w", err)
	}
	r.clients[from.String()] = c
	r.running.Go(func() { r.forwardReplies(c, from) })
	return c, nil
}

// forwardReplies forwards datagrams from the server to a client.
func (r *relay) forwardReplies(c *net.UDPConn, to *net.UDPAddr) {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := c.Read(buffer)
		if err != nil {
			return
		}
		r.count(n)
		_, _ = r.conn.WriteToUDP(buffer[:n], to)
	}
}

func (r *relay) count(n int) {
	r.bytes.Add(int64(n))
	r.packets.Add(1)
}
