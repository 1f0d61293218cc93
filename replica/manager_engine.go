package replica

import (
	"context"
	"errors"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/inflight"
)

// driveEngine submits orders and reads the engine state, one call at a time, so
// that a state read always begins after the response to the previous
// submission.
func (m *Manager) driveEngine(ctx context.Context) error {
	poll := minPoll
	for ctx.Err() == nil {
		if o := m.takePendingOrder(); o != nil {
			m.sendOrder(ctx, *o)
			poll = minPoll
		}
		m.readState(ctx)
		wait := m.o.StateInterval
		if m.orderInFlight() {
			wait = poll
			poll = min(2*poll, maxPoll)
		}
		m.waitForSignal(ctx, wait)
	}
	return context.Cause(ctx)
}

func (m *Manager) takePendingOrder() *engine.Order {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.pendingOrder
	m.pendingOrder = nil
	return o
}

func (m *Manager) orderInFlight() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, inFlight := m.machine.orderTracker.InFlight()
	return inFlight && m.pendingOrder == nil
}

func (m *Manager) waitForSignal(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-m.signaled:
	}
}

func (m *Manager) sendOrder(ctx context.Context, o engine.Order) {
	ctx, cancel := context.WithTimeout(ctx, m.o.EngineTimeout)
	defer cancel()
	err := m.o.Engine.Submit(ctx, o)
	response := responseOf(err)
	m.o.Logger.WithField("order", o.ID).WithField("kind", string(o.Kind)).WithField("model", string(o.Model)).
		WithField("adapter", string(o.Adapter)).WithField("fence", uint64(o.Fence)).WithField("answer", int(response)).Info("order submitted")
	m.o.Metrics.Tagged(map[string]string{"kind": string(o.Kind)}).Counter("orders").Inc(1)
	m.event(func(now time.Time) { m.machine.handleResponse(o.ID, response, err, now) })
}

func responseOf(err error) inflight.Response {
	var problem *engine.Problem
	switch {
	case err == nil:
		return inflight.ResponseAccepted
	case errors.As(err, &problem):
		return inflight.ResponseRejected
	default:
		return inflight.ResponseLost
	}
}

func (m *Manager) readState(ctx context.Context) {
	readStart := m.o.Now()
	ctx, cancel := context.WithTimeout(ctx, m.o.EngineTimeout)
	defer cancel()
	s, err := m.o.Engine.State(ctx)
	if err != nil {
		m.o.Metrics.Counter("engine_state_failures").Inc(1)
		m.event(func(now time.Time) { m.machine.step(now) })
		return
	}
	m.event(func(now time.Time) { m.machine.handleState(s, readStart, now) })
	m.o.Metrics.Gauge("free_mb").Update(float64(m.FreeMB()))
}
