package replica

import (
	"context"
	"time"
)

// openGate asks for a place beside the loops. It runs under the lock.
func (m *Manager) openGate(a openGate) {
	if m.ctx == nil {
		return
	}
	ctx, cancel := context.WithCancel(m.ctx)
	m.places[a.id] = &gatePlace{cancel: cancel}
	m.running.Go(func() {
		release, err := m.o.LoadLimiter.Acquire(ctx, a.key.Model, a.key.Adapter, a.priority)
		if err != nil {
			m.o.Metrics.Counter("gate_failures").Inc(1)
			release = nil
		}
		m.gateAnswered(a.id, release)
	})
}

// gateAnswered keeps a place that is still wanted and gives back any other.
func (m *Manager) gateAnswered(id uint64, release func()) {
	wanted := false
	m.event(func(now time.Time) {
		p := m.places[id]
		if p == nil {
			return
		}
		wanted = true
		p.release = release
		m.machine.gateOpened(id, now)
	})
	if !wanted && release != nil {
		release()
	}
}

// closeGate gives a place back. It runs under the lock.
func (m *Manager) closeGate(id uint64) {
	p := m.places[id]
	if p == nil {
		return
	}
	delete(m.places, id)
	p.cancel()
	if p.release != nil {
		go p.release()
	}
}
