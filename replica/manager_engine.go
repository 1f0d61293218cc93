package replica

import (
	"context"
	"errors"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/inflight"
)

// driveEngine submits orders and reads the state, one call at a time, so that
// a state read always begins after the answer of the submission before it.
func (m *Manager) driveEngine(ctx context.Context) error {
	poll := minPoll
	for ctx.Err() == nil {
		if o := m.nextSubmit(); o != nil {
			m.sendOrder(ctx, *o)
			poll = minPoll
		}
		m.readState(ctx)
		wait := m.o.StateEvery
		if m.orderOpen() {
			wait = poll
			poll = min(2*poll, maxPoll)
		}
		m.pause(ctx, wait)
	}
	return context.Cause(ctx)
}

func (m *Manager) nextSubmit() *engine.Order {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.submit
	m.submit = nil
	return o
}

func (m *Manager) orderOpen() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, open := m.machine.book.InFlight()
	return open && m.submit == nil
}

func (m *Manager) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-m.wake:
	}
}

func (m *Manager) sendOrder(ctx context.Context, o engine.Order) {
	ctx, cancel := context.WithTimeout(ctx, m.o.EngineTimeout)
	defer cancel()
	err := m.o.Engine.Submit(ctx, o)
	a := answerOf(err)
	m.o.Logger.WithField("order", o.ID).WithField("kind", string(o.Kind)).WithField("model", string(o.Model)).
		WithField("adapter", string(o.Adapter)).WithField("fence", uint64(o.Fence)).WithField("answer", int(a)).Info("order submitted")
	m.o.Metrics.Tagged(map[string]string{"kind": string(o.Kind)}).Counter("orders").Inc(1)
	m.event(func(now time.Time) { m.machine.answered(o.ID, a, err, now) })
}

func answerOf(err error) inflight.Response {
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
	begun := m.o.Now()
	ctx, cancel := context.WithTimeout(ctx, m.o.EngineTimeout)
	defer cancel()
	s, err := m.o.Engine.State(ctx)
	if err != nil {
		m.o.Metrics.Counter("engine_state_failures").Inc(1)
		m.event(func(now time.Time) { m.machine.step(now) })
		return
	}
	m.event(func(now time.Time) { m.machine.observed(s, begun, now) })
	m.o.Metrics.Gauge("free_mb").Update(float64(m.FreeMB()))
}
