package agent

import (
	"context"
	"time"

	"github.com/laureltally/laureltally/admission"
)

const (
	// defaultShutdownTimeout bounds a graceful shutdown.
	defaultShutdownTimeout = 60 * time.Second
	// noticeTime is how long routers are given to learn that the agent leaves.
	noticeTime = 200 * time.Millisecond
	// releaseTimeout bounds the release of the VM's rights.
	releaseTimeout = 5 * time.Second
	// deliverTime is how long routers are given to fetch the last answers.
	deliverTime = 500 * time.Millisecond
)

// startDrain refuses all later work and hands queued work back as not run.
func (a *Agent) startDrain() {
	if a.draining.Swap(true) {
		return
	}
	a.o.Logger.Info("draining")
	a.reports.now()
	for _, l := range a.allLanes() {
		l.do(func(now time.Time) []admission.Action { return l.queue.Drain(now) })
	}
}

// endDrain takes work again after an operator has withdrawn the order.
func (a *Agent) endDrain() {
	if a.leaving.Load() || !a.draining.Swap(false) {
		return
	}
	a.o.Logger.Info("draining withdrawn")
	a.mu.Lock()
	clear(a.lanes)
	a.mu.Unlock()
	a.reports.now()
}

func (a *Agent) allLanes() []*lane {
	a.mu.Lock()
	defer a.mu.Unlock()
	lanes := make([]*lane, 0, len(a.lanes))
	for _, l := range a.lanes {
		lanes = append(lanes, l)
	}
	return lanes
}

// shutdown drains the agent, waits for what runs, and releases its rights.
func (a *Agent) shutdown() {
	timeout := time.Duration(a.o.Settings.ShutdownTimeout)
	if timeout <= 0 {
		timeout = defaultShutdownTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	a.leaving.Store(true)
	a.startDrain()
	time.Sleep(noticeTime)
	a.waitRunning(ctx)
	if a.replicas != nil {
		a.release(ctx)
	}
	time.Sleep(deliverTime)
	a.stop()
	a.background.Wait()
	a.o.Logger.Info("stopped")
}

// release gives the VM's rights back, which needs the platform. Without it they
// stay with the VM: its next incarnation goes on with them, and if the VM is
// gone the planners free them.
func (a *Agent) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := a.replicas.Drain(ctx); err != nil {
		a.o.Logger.WithError(err).Warn("rights not released")
	}
}

// waitRunning waits until no attempt runs, at the longest until ctx ends.
func (a *Agent) waitRunning(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		a.running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		a.o.Logger.Warn("shutdown timeout: attempts still run")
	}
}
