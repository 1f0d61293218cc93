package harness

import (
	"fmt"
	"net"
	"sync"
)

// Middlebox forwards UDP between routers and one agent. It can lose track of
// the flows it knows while new ones work.
type Middlebox struct {
	front  *net.UDPConn
	target *net.UDPAddr

	mu    sync.Mutex
	flows map[string]*flow
}

type flow struct {
	back   *net.UDPConn
	silent bool
}

// datagramBytes is the largest datagram that is forwarded.
const datagramBytes = 2048

// NewMiddlebox listens on a free loopback port and forwards to target.
func NewMiddlebox(target string) (*Middlebox, error) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fmt.Errorf("target: %w", err)
	}
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	m := &Middlebox{front: front, target: to, flows: make(map[string]*flow)}
	go m.forward()
	return m, nil
}

// Address returns where routers reach the agent.
func (m *Middlebox) Address() string { return m.front.LocalAddr().String() }

// Forget makes every flow of this moment silent for good.
func (m *Middlebox) Forget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range m.flows {
		f.silent = true
	}
}

// Close stops forwarding.
func (m *Middlebox) Close() {
	_ = m.front.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range m.flows {
		_ = f.back.Close()
	}
}

func (m *Middlebox) forward() {
	buf := make([]byte, datagramBytes)
	for {
		n, from, err := m.front.ReadFromUDP(buf)
		if err != nil {
			return
		}
		f, err := m.flow(from)
		if err != nil || m.isSilent(f) {
			continue
		}
		_, _ = f.back.Write(buf[:n])
	}
}

func (m *Middlebox) flow(from *net.UDPAddr) (*flow, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f, ok := m.flows[from.String()]; ok {
		return f, nil
	}
	back, err := net.DialUDP("udp", nil, m.target)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	f := &flow{back: back}
	m.flows[from.String()] = f
	go m.answer(f, from)
	return f, nil
}

func (m *Middlebox) isSilent(f *flow) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return f.silent
}

func (m *Middlebox) answer(f *flow, to *net.UDPAddr) {
	buf := make([]byte, datagramBytes)
	for {
		n, err := f.back.Read(buf)
		if err != nil {
			if f.back.LocalAddr() == nil || isClosed(err) {
				return
			}
			continue
		}
		if !m.isSilent(f) {
			_, _ = m.front.WriteToUDP(buf[:n], to)
		}
	}
}

func isClosed(err error) bool {
	op, ok := err.(*net.OpError)
	return ok && op.Err == net.ErrClosed
}
