package idempotency

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/laureltally/laureltally/metastore"
)

// The delay before a retry doubles from retryBase to retryMax.
const (
	retryBase = 2 * time.Millisecond
	retryMax  = 200 * time.Millisecond
	// maxDoublings keeps the shift from overflowing.
	maxDoublings = 10
)

// bucket drives the machine of one bucket object. Its goroutine runs only while
// operations are pending.
type bucket struct {
	manager   *Manager
	objectKey string

	mu      sync.Mutex
	machine *machine
	waiting map[uint64]chan result
	running bool
}

func newBucket(m *Manager, n int) *bucket {
	objectKey := m.bucketObjectKey(n)
	return &bucket{
		manager:   m,
		objectKey: objectKey,
		machine: newMachine(machineOptions{
			objectKey: objectKey, bucket: n, window: m.opts.Window(), maxBytes: m.opts.BucketBytes,
		}),
		waiting: make(map[uint64]chan result),
	}
}

// add queues an operation and returns true if the caller must start run.
func (b *bucket) add(o operation, done chan result) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.machine.add(o)
	b.waiting[o.id] = done
	start := !b.running
	b.running = true
	return start
}

// cancel stops waiting for the result of an operation.
func (b *bucket) cancel(id uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.waiting, id)
	b.machine.remove(id)
}

// run carries out the machine's actions until it is idle.
func (b *bucket) run() {
	for {
		b.manager.inFlight <- struct{}{}
		act, more := b.step()
		b.perform(act)
		<-b.manager.inFlight
		if !more {
			return
		}
		if act.write {
			b.pause()
		}
	}
}

// step returns the next action, and false if the machine is idle and run must
// return.
func (b *bucket) step() (action, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.machine.setWindow(b.manager.opts.Window())
	act := b.machine.next(b.manager.opts.Now())
	b.deliver()
	b.running = !b.machine.idle()
	if !b.running {
		b.machine.forget()
	}
	return act, b.running
}

// deliver sends the results to the waiting callers. The caller holds the lock.
func (b *bucket) deliver() {
	for _, r := range b.machine.takeResults() {
		if done, ok := b.waiting[r.id]; ok {
			done <- r
			delete(b.waiting, r.id)
		}
	}
}

func (b *bucket) perform(act action) {
	ctx, cancel := context.WithTimeout(b.manager.ctx, b.manager.opts.CallTimeout)
	defer cancel()
	switch {
	case act.read:
		o, err := b.manager.opts.Store.Get(ctx, b.objectKey)
		b.observe(func(m *machine) { onRead(m, o, err) })
	case act.write:
		v, err := b.manager.opts.Store.Put(ctx, b.objectKey, act.value, act.expect)
		b.observe(func(m *machine) { onWrite(m, v, err) })
	}
}

func (b *bucket) observe(event func(*machine)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	event(b.machine)
	b.deliver()
}

func onRead(m *machine, o metastore.Object, err error) {
	var notFound *metastore.NotFoundError
	switch {
	case err == nil:
		m.readDone(o.Version, o.Value)
	case errors.As(err, &notFound):
		m.readDone(0, nil)
	default:
		m.readFailed(asUnavailable("get", err))
	}
}

func onWrite(m *machine, v metastore.Version, err error) {
	var conflict *metastore.ConflictError
	switch {
	case err == nil:
		m.writeDone(v)
	case errors.As(err, &conflict):
		m.writeConflict()
	default:
		m.writeUnknown(asUnavailable("put", err))
	}
}

// asUnavailable wraps any error that is not a definite result, such as a
// timeout of the call itself, in a *metastore.UnavailableError.
func asUnavailable(op string, err error) error {
	var unavailable *metastore.UnavailableError
	if errors.As(err, &unavailable) {
		return err
	}
	return &metastore.UnavailableError{Op: op, Err: err}
}

// pause waits before a write is retried.
func (b *bucket) pause() {
	b.mu.Lock()
	retries := b.machine.retries
	b.mu.Unlock()
	if retries == 0 {
		return
	}
	wait := min(retryMax, retryBase<<min(retries, maxDoublings))
	timer := time.NewTimer(time.Duration(float64(wait) * b.manager.opts.Jitter()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.manager.ctx.Done():
	}
}
