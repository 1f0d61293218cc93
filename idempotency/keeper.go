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

// Manager claims keys for a router, in one environment. It is safe for concurrent
// use.
//
// Calls that wait at the same time go to the platform together, in one
// conditional update per bucket. Any router may write any bucket: the condition
// on the version alone keeps them correct.
type Manager struct {
	opts    Options
	refuted *refuted
	slots   chan struct{}
	nextOp  atomic.Uint64

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	buckets map[int]*bucket
}

// New returns a Keeper. The caller closes it.
func New(o Options) *Manager {
	o = o.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Manager{
		opts:    o,
		refuted: newRefuted(),
		slots:   make(chan struct{}, o.InFlight),
		ctx:     ctx,
		cancel:  cancel,
		buckets: make(map[int]*bucket),
	}
}

// Claim claims the key for a new attempt at the target that choose returns, or
// says what became of the request that holds it. The key is scoped by the
// caller, see ScopedKey; the fingerprint is that of Fingerprint.
//
// An error means that this call has not run the request and will not:
// *KeyReusedError, *ExpiredError, *OverflowError, *PlatformError, *ClosedError,
// *FormatError, the error of choose, or the context's. It does not speak of an
// earlier call with the same key, which may have run; so a caller repeats the
// call with the same key. After an *ExpiredError there was such an earlier call.
func (k *Manager) Claim(ctx context.Context, key, fingerprint string, choose func() (Target, error)) (Outcome, error) {
	c := newCall(digestOf(key), digestOf(fingerprint))
	for {
		target, err := choose()
		if err != nil {
			return k.look(ctx, c, err)
		}
		res, err := k.submit(ctx, c.propose(k.opts.NewAttempt(), target))
		if err != nil {
			return Outcome{}, err
		}
		if outcome, done := c.settled(res); done {
			return outcome, nil
		}
		state, reason := k.ask(ctx, *res.found)
		if outcome, done := c.answered(*res.found, state, reason); done {
			return outcome, nil
		}
	}
}

// look tells what became of the request that holds the key while no new attempt
// can be made for cause, which is returned if none has run or will.
func (k *Manager) look(ctx context.Context, c *call, cause error) (Outcome, error) {
	for {
		res, err := k.submit(ctx, c.look())
		if err != nil {
			return Outcome{}, err
		}
		if res.found == nil {
			return Outcome{}, cause
		}
		state, reason := k.ask(ctx, *res.found)
		if outcome, done := c.answered(*res.found, state, reason); done {
			return outcome, nil
		}
	}
}

// ask returns the word on the attempt that holds a claim.
func (k *Manager) ask(ctx context.Context, e entry) (wire.AttemptState, error) {
	if k.refuted.has(e.Attempt) {
		return wire.AttemptNotRun, nil
	}
	state, err := k.opts.Inquirer.Inquire(ctx, e.target(), e.Attempt)
	if err != nil {
		return "", fmt.Errorf("inquire of %s: %w", e.VM, err)
	}
	return state, nil
}

// RecordNotRun records that the agent refused the attempt as not run, with the word of
// its own Refusal. The next Begin with the key then moves the claim without
// asking. It makes no call to the platform.
func (k *Manager) RecordNotRun(_ context.Context, _ string, attempt ident.Attempt) {
	k.refuted.add(attempt)
}

// Release frees the claim of an attempt that was refused as not run, when the
// router gives up on the request. Without it the next request with the key has
// to ask the agent, and is told unknown if that agent is gone by then.
func (k *Manager) Release(ctx context.Context, key string, attempt ident.Attempt) error {
	_, err := k.submit(ctx, op{kind: opRelease, key: digestOf(key), from: attempt})
	return err
}

// Close ends the Keeper's calls and waits for them. Calls that wait get a
// *ClosedError.
func (k *Manager) Close() {
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	k.cancel()
	k.wg.Wait()
}

// submit hands an op to its bucket and waits for the result.
func (k *Manager) submit(ctx context.Context, o op) (result, error) {
	o.id = k.nextOp.Add(1)
	done := make(chan result, 1)
	b, err := k.enqueue(o, done)
	if err != nil {
		return result{}, err
	}
	select {
	case r := <-done:
		return r, k.explain(r.err)
	case <-ctx.Done():
		b.abandon(o.id)
		return result{}, ctx.Err()
	}
}

// explain turns the platform's errors into *PlatformError.
func (k *Manager) explain(err error) error {
	if err == nil {
		return nil
	}
	if k.ctx.Err() != nil {
		return &ClosedError{}
	}
	var away *metastore.UnavailableError
	if !errors.As(err, &away) {
		return err
	}
	after := away.RetryAfter
	if after <= 0 {
		after = k.opts.RetryAfter
	}
	return &PlatformError{RetryAfter: after, Err: err}
}

func (k *Manager) enqueue(o op, done chan result) (*bucket, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return nil, &ClosedError{}
	}
	n := k.bucketOf(o.key)
	b, ok := k.buckets[n]
	if !ok {
		b = newBucket(k, n)
		k.buckets[n] = b
	}
	if b.add(o, done) {
		k.wg.Go(b.run)
	}
	return b, nil
}

func (k *Manager) bucketOf(key digest) int {
	return int(binary.BigEndian.Uint64(key[:]) % uint64(k.opts.Buckets))
}

func (k *Manager) objectKey(bucket int) string {
	return fmt.Sprintf("claims/%s/%04d", k.opts.Environment, bucket)
}
