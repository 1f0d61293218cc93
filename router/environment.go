package router

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laureltally/laureltally/admission"
	"github.com/laureltally/laureltally/allocation"
	"github.com/laureltally/laureltally/catalog"
	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/idempotency"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/retry"
	"github.com/laureltally/laureltally/wire"
)

// configRetryAfter is the Retry-After until the configuration is loaded.
const configRetryAfter = time.Second

// environment holds the router's state for one environment.
type environment struct {
	name    ident.Environment
	catalog atomic.Pointer[catalog.Catalog]
	claims  *idempotency.Manager
	planner *allocation.Planner
	permits *loadLimiter

	mu      sync.Mutex
	limiter *admission.Limiter
	budget  *retry.Budget
	retries *retry.Policy
}

func newEnvironment(s *Server, name ident.Environment) (*environment, error) {
	limiter, err := admission.NewLimiter(admission.LimiterOptions{}, s.splitRand())
	if err != nil {
		return nil, fmt.Errorf("rate limits: %w", err)
	}
	budget, err := retry.NewBudget(retry.BudgetOptions{})
	if err != nil {
		return nil, fmt.Errorf("retry budget: %w", err)
	}
	retries, err := retry.New(retry.Options{Budget: budget, Rand: s.splitRand()})
	if err != nil {
		return nil, fmt.Errorf("retry policy: %w", err)
	}
	e := &environment{name: name, limiter: limiter, budget: budget, retries: retries, permits: newLoadLimiter(s.o.Now)}
	jitter := s.splitRand()
	e.planner, err = allocation.NewPlanner(allocation.Options{
		Environment: name,
		Self:        s.o.Settings.VM,
		Incarnation: s.o.Incarnation,
		Store:       s.o.Store,
		Logger:      s.o.Logger,
		Metrics:     s.o.Metrics,
		Now:         s.o.Now,
		Rand:        lockedFloat(s.splitRand()),
	})
	if err != nil {
		return nil, fmt.Errorf("planner: %w", err)
	}
	e.claims = idempotency.New(idempotency.Options{
		Environment: name,
		Store:       s.o.Store,
		Inquirer:    s,
		NewAttempt:  s.attemptNames.Keyed,
		Window:      e.claimWindow,
		Now:         s.o.Now,
		Jitter:      lockedFloat(jitter),
		Logger:      s.o.Logger,
	})
	return e, nil
}

// lockedFloat returns a function that draws from r and is safe for concurrent use.
func lockedFloat(r *rand.Rand) func() float64 {
	var mu sync.Mutex
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return r.Float64()
	}
}

func (e *environment) claimWindow() time.Duration {
	c := e.catalog.Load()
	if c == nil {
		return idempotency.DefaultWindow
	}
	return time.Duration(c.Document().Limits.KeyRetention)
}

// admit applies the rate limits of the environment and of the caller.
func (e *environment) admit(now time.Time, caller config.Caller) *Failure {
	limits := e.catalog.Load().Document().Limits
	keys := []admission.LimitKey{{Environment: e.name}, {Environment: e.name, Caller: caller.Name}}
	rates := []admission.Rate{
		{PerSecond: limits.RequestsPerSecond, Burst: limits.Burst},
		{PerSecond: caller.RequestsPerSecond, Burst: caller.Burst},
	}
	e.mu.Lock()
	after, ok := e.limiter.AllowAll(now, keys, rates)
	e.mu.Unlock()
	if ok {
		return nil
	}
	f := notRun(wire.CodeRateLimited, "the rate limit of %s is reached", caller.Name)
	f.RetryAfter = after
	return f
}

// recordSuccess adds a success to the retry budget, which allows later retries.
func (e *environment) recordSuccess(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget.Success(now)
}

// decideRetry decides whether and when a failed attempt is retried.
func (e *environment) decideRetry(now time.Time, f retry.Failure) retry.Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retries.Decide(now, f)
}

// modelMB returns the accelerator memory of a model's weights and KV cache in MiB, or
// zero if unknown.
func (s *Server) modelMB(name ident.Environment, m ident.Model) int64 {
	env := s.environments[name]
	if env == nil {
		return 0
	}
	c := env.catalog.Load()
	if c == nil {
		return 0
	}
	spec, ok := c.Model(m)
	if !ok {
		return 0
	}
	return spec.MemoryMB + spec.KVCacheMB
}

var _ idempotency.Inquirer = (*Server)(nil)
