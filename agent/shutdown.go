package agent

import (
	"context"
	"time"

	"github.com/laureltally/laureltally/admission"
)

const (
	// defaultShutdownTimeout bounds a graceful shutdown.
	defaultShutdownTimeout = 60 * time.Second
	// drainNoticeDelay gives routers time to receive the report that the agent is
	// draining.
	drainNoticeDelay = 200 * time.Millisecond
	// releaseTimeout bounds the release of the VM's slots.
	releaseTimeout = 5 * time.Second
	// responseFetchDelay gives routers time to fetch the last responses.
	responseFetchDelay = 500 * time.Millisecond
)

// startDrain refuses all new requests, and queued ones as not run.
func (a *Agent) startDrain() {
	if a.draining.Swap(true) {
		return
	}
	a.o.Logger.Info("draining")
	a.reports.now()
	for _, mq := range a.allModelQueues() {
		mq.apply(func(now time.Time) []admission.Action { return mq.queue.Drain(now) })
	}
}

// cancelDrain accepts requests again after an operator has withdrawn the drain
// order.
func (a *Agent) cancelDrain() {
	if a.shuttingDown.Load() || !a.draining.Swap(false) {
		return
	}
	a.o.Logger.Info("draining canceled")
	a.mu.Lock()
	clear(a.modelQueues)
	a.mu.Unlock()
	a.reports.now()
}

func (a *Agent) allModelQueues() []*modelQueue {
	a.mu.Lock()
	defer a.mu.Unlock()
	modelQueues := make([]*modelQueue, 0, len(a.modelQueues))
	for _, mq := range a.modelQueues {
		modelQueues = append(modelQueues, mq)
	}
	return modelQueues
}

// shutdown drains the agent, waits for running attempts and releases the VM's
// slots.
func (a *Agent) shutdown() {
	timeout := time.Duration(a.o.Settings.ShutdownTimeout)
	if timeout <= 0 {
		timeout = defaultShutdownTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	a.shuttingDown.Store(true)
	a.startDrain()
	time.Sleep(drainNoticeDelay)
	a.waitRunning(ctx)
	if a.replicas != nil {
		a.releaseSlots(ctx)
	}
	time.Sleep(responseFetchDelay)
	a.cancelWork()
	a.background.Wait()
	a.o.Logger.Info("stopped")
}

// releaseSlots releases the VM's slots, which needs the platform. If that
// fails, they stay with the VM: its next incarnation uses them, or the planners
// free them if the VM has been removed.
func (a *Agent) releaseSlots(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := a.replicas.Drain(ctx); err != nil {
		a.o.Logger.WithError(err).Warn("slots not released")
	}
}

// waitRunning waits until no attempt is running or ctx ends.
func (a *Agent) waitRunning(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		a.running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		a.o.Logger.Warn("shutdown timeout: attempts still running")
	}
}
