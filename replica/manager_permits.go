package replica

import (
	"context"
	"time"
)

// requestPermit requests a load permit in a goroutine. The caller holds the
// lock.
func (m *Manager) requestPermit(a requestPermit) {
	if m.ctx == nil {
		return
	}
	ctx, cancel := context.WithCancel(m.ctx)
	m.permits[a.id] = &heldPermit{cancel: cancel}
	m.background.Go(func() {
		release, err := m.o.LoadLimiter.Acquire(ctx, a.key.Model, a.key.Adapter, a.priority)
		if err != nil {
			m.o.Metrics.Counter("gate_failures").Inc(1)
			release = nil
		}
		m.permitAcquired(a.id, release)
	})
}

// permitAcquired keeps a load permit that is still required and releases any
// other.
func (m *Manager) permitAcquired(id uint64, release func()) {
	pending := false
	m.event(func(now time.Time) {
		p := m.permits[id]
		if p == nil {
			return
		}
		pending = true
		p.release = release
		m.machine.permitGranted(id, now)
	})
	if !pending && release != nil {
		release()
	}
}

// releasePermit releases a load permit or cancels the request for it. The
// caller holds the lock.
func (m *Manager) releasePermit(id uint64) {
	p := m.permits[id]
	if p == nil {
		return
	}
	delete(m.permits, id)
	p.cancel()
	if p.release != nil {
		go p.release()
	}
}
