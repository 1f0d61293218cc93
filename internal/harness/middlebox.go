package harness

import (
	"fmt"
	"net"
	"sync"
)

// Middlebox forwards UDP datagrams between routers and one agent, as a NAT or
// firewall does. It can drop its current flows while new ones work.
type Middlebox struct {
	routerConn *net.UDPConn
	target     *net.UDPAddr

	mu    sync.Mutex
	flows map[string]*flow
	// forwarded counts the forwarded datagrams of both directions.
	forwarded int
}

type flow struct {
	agentConn *net.UDPConn
	// dropAll drops the datagrams of both directions, dropToAgent only those to
	// the agent.
	dropAll, dropToAgent bool
}

// maxDatagramBytes is the largest datagram that is forwarded whole; a longer one is
// truncated.
const maxDatagramBytes = 2048

// NewMiddlebox returns a middlebox that listens on a free loopback port and
// forwards to target, a UDP address.
func NewMiddlebox(target string) (*Middlebox, error) {
	return NewMiddleboxAt("127.0.0.1:0", target)
}

// NewMiddleboxAt returns a middlebox that listens on address and forwards to
// target, both UDP addresses.
func NewMiddleboxAt(address, target string) (*Middlebox, error) {
	listenAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("resolve listen address: %w", err)
	}
	targetAddress, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fmt.Errorf("resolve target: %w", err)
	}
	routerConn, err := net.ListenUDP("udp", listenAddress)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	m := &Middlebox{routerConn: routerConn, target: targetAddress, flows: make(map[string]*flow)}
	go m.forwardToAgent()
	return m, nil
}

// Address returns the UDP address at which routers reach the agent.
func (m *Middlebox) Address() string { return m.routerConn.LocalAddr().String() }

// DropFlows drops all further datagrams of the current flows, in both directions.
func (m *Middlebox) DropFlows() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range m.flows {
		f.dropAll = true
	}
}

// DropFlowsToAgent drops all further datagrams to the agent on the current flows,
// while the agent's datagrams still reach the routers.
func (m *Middlebox) DropFlowsToAgent() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range m.flows {
		f.dropToAgent = true
	}
}

// Forwarded returns how many datagrams were forwarded, of both directions together.
func (m *Middlebox) Forwarded() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.forwarded
}

// Close stops forwarding.
func (m *Middlebox) Close() {
	_ = m.routerConn.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range m.flows {
		_ = f.agentConn.Close()
	}
}

func (m *Middlebox) forwardToAgent() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := m.routerConn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		f, err := m.flow(from)
		if err != nil || !m.admit(f, true) {
			continue
		}
		_, _ = f.agentConn.Write(buf[:n])
	}
}

func (m *Middlebox) flow(from *net.UDPAddr) (*flow, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f, ok := m.flows[from.String()]; ok {
		return f, nil
	}
	agentConn, err := net.DialUDP("udp", nil, m.target)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	f := &flow{agentConn: agentConn}
	m.flows[from.String()] = f
	go m.forwardToRouter(f, from)
	return f, nil
}

// admit reports whether a datagram of a flow is forwarded, and counts it if so.
func (m *Middlebox) admit(f *flow, toAgent bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f.dropAll || f.dropToAgent && toAgent {
		return false
	}
	m.forwarded++
	return true
}

func (m *Middlebox) forwardToRouter(f *flow, to *net.UDPAddr) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, err := f.agentConn.Read(buf)
		if err != nil {
			if f.agentConn.LocalAddr() == nil || isClosed(err) {
				return
			}
			continue
		}
		if m.admit(f, false) {
			_, _ = m.routerConn.WriteToUDP(buf[:n], to)
		}
	}
}

func isClosed(err error) bool {
	op, ok := err.(*net.OpError)
	return ok && op.Err == net.ErrClosed
}
