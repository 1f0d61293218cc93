package memstore

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"golang.org/x/time/rate"

	"github.com/laureltally/laureltally/internal/wait"
	"github.com/laureltally/laureltally/metastore"
)

// Store implements metastore.Store in memory. It is safe for concurrent use.
type Store struct {
	logger       log.Interface
	reads        *rate.Limiter
	writes       *rate.Limiter
	historyLimit int

	mu        sync.Mutex
	version   metastore.Version
	objects   map[string]metastore.Object
	history   []change
	compacted metastore.Version
	changed   chan struct{}
	faults    Faults
	counters  Counters
	random    *rand.Rand
}

var _ metastore.Store = (*Store)(nil)

// New returns an empty store.
func New(o Options) *Store {
	if o.Logger == nil {
		o.Logger = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	}
	if o.History == 0 {
		o.History = DefaultHistory
	}
	return &Store{
		logger:       o.Logger,
		reads:        limiter(o.ReadsPerSecond),
		writes:       limiter(o.WritesPerSecond),
		historyLimit: o.History,
		objects:      make(map[string]metastore.Object),
		changed:      make(chan struct{}),
		random:       rand.New(rand.NewPCG(o.Seed, 0)),
	}
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// SetFaults replaces the faults and wakes all watches.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.broadcast()
	s.logger.WithField("faults", f).Debug("faults set")
}

// Faults returns the faults, with the remaining numbers of writes to affect.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counters returns the current counters.
func (s *Store) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// Version returns the version of the newest change.
func (s *Store) Version() metastore.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// broadcast wakes all watches. The caller holds mu.
func (s *Store) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// admit waits for the injected delay, and then fails the call during an outage or
// over the rate limit.
func (s *Store) admit(ctx context.Context, op string, limit *rate.Limiter) error {
	if err := wait.Sleep(ctx, s.Faults().Delay); err != nil {
		return &metastore.UnavailableError{Op: op, Err: err}
	}
	if s.Faults().Outage {
		s.countRefused()
		return &metastore.UnavailableError{Op: op, Err: &OutageError{}}
	}
	r := limit.Reserve()
	if wait := r.Delay(); wait > 0 {
		r.Cancel()
		s.countRefused()
		return &metastore.UnavailableError{Op: op, RetryAfter: wait, Err: &RateError{}}
	}
	return nil
}

func (s *Store) countRefused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Refused++
}
