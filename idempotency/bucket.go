package idempotency

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/laureltally/laureltally/metastore"
)

// The wait before a retry doubles from retryBase to retryMax.
const (
	retryBase = 2 * time.Millisecond
	retryMax  = 200 * time.Millisecond
	// maxDoublings keeps the shift from overflowing.
	maxDoublings = 10
)

// bucket drives the machine of one bucket object. A goroutine runs only while
// there is something to do.
type bucket struct {
	keeper *Manager
	object string

	mu      sync.Mutex
	machine *machine
	waiting map[uint64]chan result
	running bool
}

func newBucket(k *Manager, n int) *bucket {
	object := k.objectKey(n)
	return &bucket{
		keeper: k,
		object: object,
		machine: newMachine(machineOptions{
			object: object, bucket: n, window: k.opts.Window(), maxBytes: k.opts.BucketBytes,
		}),
		waiting: make(map[uint64]chan result),
	}
}

// add queues an op and returns true if the caller must start run.
func (b *bucket) add(o op, done chan result) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.machine.add(o)
	b.waiting[o.id] = done
	start := !b.running
	b.running = true
	return start
}

// abandon stops waiting for an op's result.
func (b *bucket) abandon(id uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.waiting, id)
	b.machine.drop(id)
}

// run carries out the machine's actions until it is idle.
func (b *bucket) run() {
	for {
		b.keeper.slots <- struct{}{}
		act, more := b.step()
		b.perform(act)
		<-b.keeper.slots
		if !more {
			return
		}
		if act.write {
			b.pause()
		}
	}
}

// step returns the next action, and false if there is none and run ends.
func (b *bucket) step() (action, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.machine.setWindow(b.keeper.opts.Window())
	act := b.machine.next(b.keeper.opts.Now())
	b.deliver()
	b.running = !b.machine.idle()
	if !b.running {
		b.machine.rest()
	}
	return act, b.running
}

// deliver hands out the results. The lock is held.
func (b *bucket) deliver() {
	for _, r := range b.machine.take() {
		if done, ok := b.waiting[r.id]; ok {
			done <- r
			delete(b.waiting, r.id)
		}
	}
}

func (b *bucket) perform(act action) {
	ctx, cancel := context.WithTimeout(b.keeper.ctx, b.keeper.opts.CallTimeout)
	defer cancel()
	switch {
	case act.read:
		o, err := b.keeper.opts.Store.Get(ctx, b.object)
		b.observe(func(m *machine) { onRead(m, o, err) })
	case act.write:
		v, err := b.keeper.opts.Store.Put(ctx, b.object, act.value, act.expect)
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
	var missing *metastore.NotFoundError
	switch {
	case err == nil:
		m.loaded(o.Version, o.Value)
	case errors.As(err, &missing):
		m.loaded(0, nil)
	default:
		m.readFailed(unavailable("get", err))
	}
}

func onWrite(m *machine, v metastore.Version, err error) {
	var conflict *metastore.ConflictError
	switch {
	case err == nil:
		m.wrote(v)
	case errors.As(err, &conflict):
		m.conflicted()
	default:
		m.unanswered(unavailable("put", err))
	}
}

// unavailable takes any error that is no definite answer, such as a timeout of
// the call itself, for the platform's being away.
func unavailable(op string, err error) error {
	var away *metastore.UnavailableError
	if errors.As(err, &away) {
		return err
	}
	return &metastore.UnavailableError{Op: op, Err: err}
}

// pause waits after a write that has to be tried again.
func (b *bucket) pause() {
	b.mu.Lock()
	retries := b.machine.retries
	b.mu.Unlock()
	if retries == 0 {
		return
	}
	wait := min(retryMax, retryBase<<min(retries, maxDoublings))
	timer := time.NewTimer(time.Duration(float64(wait) * b.keeper.opts.Jitter()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.keeper.ctx.Done():
	}
}
