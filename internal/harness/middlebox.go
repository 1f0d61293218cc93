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
	// passed counts the datagrams that were forwarded, both ways.
	passed int
}

type flow struct {
	back *net.UDPConn
	// silent drops both ways, deaf only what goes to the agent.
	silent, deaf bool
}

// datagramBytes is the largest datagram that is forwarded.
const datagramBytes = 2048

// NewMiddlebox listens on a free loopback port and forwards to target.
func NewMiddlebox(target string) (*Middlebox, error) {
	return NewMiddleboxAt("127.0.0.1:0", target)
}

// NewMiddleboxAt listens on a UDP address and forwards to target.
func NewMiddleboxAt(address, target string) (*Middlebox, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("address: %w", err)
	}
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fmt.Errorf("target: %w", err)
	}
	front, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	m := &Middlebox{front: front, target: to, flows: make(map[string]*flow)}
	go m.forward()
	return m, nil
}

// Address returns where routers reach the agent.
func (m *Middlebox) Address() string { return m.front.LocalAddr().String() }

// DropFlows makes every flow of this moment silent for good.
func (m *Middlebox) DropFlows() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range m.flows {
		f.silent = true
	}
}

// DropFlowsToAgent drops for good what routers send on the flows of this moment, while the
// agent's datagrams still reach them.
func (m *Middlebox) DropFlowsToAgent() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range m.flows {
		f.deaf = true
	}
}

// Forwarded returns how many datagrams were forwarded, both ways together.
func (m *Middlebox) Forwarded() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.passed
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
		if err != nil || !m.pass(f, true) {
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

// pass counts a datagram of a flow unless it has to be dropped.
func (m *Middlebox) pass(f *flow, toAgent bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f.silent || f.deaf && toAgent {
		return false
	}
	m.passed++
	return true
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
		if m.pass(f, false) {
			_, _ = m.front.WriteToUDP(buf[:n], to)
		}
	}
}

func isClosed(err error) bool {
	op, ok := err.(*net.OpError)
	return ok && op.Err == net.ErrClosed
}
