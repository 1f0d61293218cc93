package idempotency

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/wire"
)

// Manager claims keys for a router in one environment. It is safe for
// concurrent use.
//
// Concurrent calls are sent to the platform together, in one conditional update
// per bucket. Any router may write any bucket: the condition on the version
// alone keeps the writes correct.
type Manager struct {
	opts      Options
	notRunSet *notRunSet
	inFlight  chan struct{}
	nextOp    atomic.Uint64

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	buckets map[int]*bucket
}

// New returns a Manager. The caller must close it.
func New(o Options) *Manager {
	o = o.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Manager{
		opts:      o,
		notRunSet: newNotRunSet(),
		inFlight:  make(chan struct{}, o.InFlight),
		ctx:       ctx,
		cancel:    cancel,
		buckets:   make(map[int]*bucket),
	}
}

// Claim claims the key for a new attempt at the target that choose returns, or
// returns the outcome of the request that holds the key. key is the result of
// ScopedKey, and fingerprint that of Fingerprint.
//
// An error means that this call has not run the request and will not:
// *KeyReusedError, *ExpiredError, *BucketFullError, *PlatformError,
// *ClosedError, *FormatError, the error of choose, or the context's. It does
// not cover an earlier call with the same key, which may have run, so a caller
// retries with the same key. *ExpiredError means that there was such an earlier
// call.
func (m *Manager) Claim(ctx context.Context, key, fingerprint string, choose func() (Target, error)) (Outcome, error) {
	c := newCall(digestOf(key), digestOf(fingerprint))
	for {
		target, err := choose()
		if err != nil {
			return m.lookup(ctx, c, err)
		}
		res, err := m.submit(ctx, c.propose(m.opts.NewAttempt(), target))
		if err != nil {
			return Outcome{}, err
		}
		if outcome, done := c.ownOutcome(res); done {
			return outcome, nil
		}
		state, reason := m.inquire(ctx, *res.holder)
		if outcome, done := c.resolve(*res.holder, state, reason); done {
			return outcome, nil
		}
	}
}

// lookup returns the outcome of the request that holds the key when cause
// prevents a new attempt. It returns cause if no such request has run or will
// run.
func (m *Manager) lookup(ctx context.Context, c *call, cause error) (Outcome, error) {
	for {
		res, err := m.submit(ctx, c.lookup())
		if err != nil {
			return Outcome{}, err
		}
		if res.holder == nil {
			return Outcome{}, cause
		}
		state, reason := m.inquire(ctx, *res.holder)
		if outcome, done := c.resolve(*res.holder, state, reason); done {
			return outcome, nil
		}
	}
}

// inquire returns the state of the attempt that holds a key.
func (m *Manager) inquire(ctx context.Context, r record) (wire.AttemptState, error) {
	if m.notRunSet.has(r.Attempt) {
		return wire.AttemptNotRun, nil
	}
	state, err := m.opts.Inquirer.Inquire(ctx, r.target(), r.Attempt)
	if err != nil {
		return "", fmt.Errorf("inquire attempt state from %s: %w", r.VM, err)
	}
	return state, nil
}

// RecordNotRun records that the agent rejected the attempt as not run in its
// own Refusal. The next Claim of the key then moves it without an inquiry.
// RecordNotRun does not call the platform.
func (m *Manager) RecordNotRun(_ context.Context, _ string, attempt ident.Attempt) {
	m.notRunSet.add(attempt)
}

// Release releases the key of an attempt that was rejected as not run, when the
// router gives up on the request. Otherwise the next request with the key has
// to query the agent, and its outcome is unknown if that agent is no longer
// reachable.
func (m *Manager) Release(ctx context.Context, key string, attempt ident.Attempt) error {
	_, err := m.submit(ctx, operation{kind: opRelease, key: digestOf(key), from: attempt})
	return err
}

// Close cancels pending calls, which fail with *ClosedError, and waits for
// them.
func (m *Manager) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	m.wg.Wait()
}

// submit adds an operation to its bucket and waits for the result.
func (m *Manager) submit(ctx context.Context, o operation) (result, error) {
	o.id = m.nextOp.Add(1)
	done := make(chan result, 1)
	b, err := m.enqueue(o, done)
	if err != nil {
		return result{}, err
	}
	select {
	case r := <-done:
		return r, m.wrapStoreError(r.err)
	case <-ctx.Done():
		b.cancel(o.id)
		return result{}, ctx.Err()
	}
}

// wrapStoreError converts errors of the platform's store to *PlatformError.
func (m *Manager) wrapStoreError(err error) error {
	if err == nil {
		return nil
	}
	if m.ctx.Err() != nil {
		return &ClosedError{}
	}
	var unavailable *metastore.UnavailableError
	if !errors.As(err, &unavailable) {
		return err
	}
	retryAfter := unavailable.RetryAfter
	if retryAfter <= 0 {
		retryAfter = m.opts.RetryAfter
	}
	return &PlatformError{RetryAfter: retryAfter, Err: err}
}

func (m *Manager) enqueue(o operation, done chan result) (*bucket, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, &ClosedError{}
	}
	n := m.bucketOf(o.key)
	b, ok := m.buckets[n]
	if !ok {
		b = newBucket(m, n)
		m.buckets[n] = b
	}
	if b.add(o, done) {
		m.wg.Go(b.run)
	}
	return b, nil
}

func (m *Manager) bucketOf(key digest) int {
	return int(binary.BigEndian.Uint64(key[:]) % uint64(m.opts.Buckets))
}

func (m *Manager) bucketObjectKey(bucket int) string {
	return fmt.Sprintf("claims/%s/%04d", m.opts.Environment, bucket)
}
