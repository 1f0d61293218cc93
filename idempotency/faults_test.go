package idempotency

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/laureltally/laureltally/attempt"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore/memstore"
	"github.com/laureltally/laureltally/wire"
)

const (
	faultyRouters = 3
	faultyAgents  = 3
	faultyKeys    = 20
	faultyCalls   = 300
	faultyRounds  = 20
)

// testAgent is an agent that runs orders and is restarted occasionally.
type testAgent struct {
	mu          sync.Mutex
	incarnation ident.Incarnation
	table       *attempt.Table
}

func (a *testAgent) restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incarnation++
	a.table = attempt.NewTable(attempt.Options{Incarnation: a.incarnation, KeyedRetention: simWindow})
}

func (a *testAgent) target(vm ident.VM) Target {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Target{VM: vm, Incarnation: a.incarnation}
}

// orderSystem is the complete path of orders from callers through routers to
// agents.
type orderSystem struct {
	store  *memstore.Store
	agents map[ident.VM]*testAgent

	mu     sync.Mutex
	random *rand.Rand
	runs   map[string]int
	counts map[string]int
}

func newOrderSystem(seed uint64) *orderSystem {
	s := &orderSystem{
		store: memstore.New(memstore.Options{Seed: seed}), agents: make(map[ident.VM]*testAgent),
		random: rand.New(rand.NewPCG(seed, 0)), runs: make(map[string]int), counts: make(map[string]int),
	}
	for i := range faultyAgents {
		a := &testAgent{}
		a.restart()
		s.agents[ident.VM(fmt.Sprint("agent", i))] = a
	}
	return s
}

func (s *orderSystem) pick(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *orderSystem) runsOf(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

func (s *orderSystem) sleep(most time.Duration) { time.Sleep(time.Duration(s.pick(int(most)))) }

func (s *orderSystem) count(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what]++
}

func (s *orderSystem) choose() (Target, error) {
	if s.pick(8) == 0 {
		return Target{}, &noTargetError{}
	}
	vm := ident.VM(fmt.Sprint("agent", s.pick(faultyAgents)))
	return s.agents[vm].target(vm), nil
}

// Inquire implements Inquirer. One in ten responses is lost.
func (s *orderSystem) Inquire(_ context.Context, t Target, id ident.Attempt) (wire.AttemptState, error) {
	s.sleep(20 * time.Millisecond)
	a := s.agents[t.VM]
	a.mu.Lock()
	state := a.table.Inquire(time.Now(), id, t.Incarnation)
	a.mu.Unlock()
	if s.pick(10) == 0 {
		return "", context.DeadlineExceeded
	}
	return state, nil
}

// dispatch delivers an attempt to its agent and reports whether the agent
// rejected it as not run.
func (s *orderSystem) dispatch(key string, o Outcome) bool {
	s.sleep(200 * time.Millisecond)
	a := s.agents[o.Target.VM]
	a.mu.Lock()
	defer a.mu.Unlock()
	d := a.table.Dispatch(time.Now(), o.Attempt, o.Target.Incarnation)
	if !d.Accepted {
		return d.Refusal.Run == wire.RunStateNotRun
	}
	if s.pick(5) == 0 {
		return a.table.Withdraw(time.Now(), o.Attempt)
	}
	if a.table.Begin(o.Attempt) {
		s.mu.Lock()
		s.runs[key]++
		s.mu.Unlock()
	}
	return false
}

// request makes one caller's request at a router, with its retries.
func (s *orderSystem) request(m *Manager, key string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+s.pick(2000))*time.Millisecond)
	defer cancel()
	before := s.runsOf(key)
	for {
		out, err := m.Claim(ctx, key, "f", s.choose)
		if err != nil {
			var none *noTargetError
			if errors.As(err, &none) && before > 0 {
				s.count("untrue")
			}
			s.count("refused")
			return
		}
		if out.Kind != Dispatch {
			s.count([]string{Join: "joined", Unknown: "unknown"}[out.Kind])
			return
		}
		if s.pick(6) == 0 {
			s.count("died")
			return
		}
		if !s.dispatch(key, out) {
			s.count("dispatched")
			return
		}
		m.RecordNotRun(ctx, key, out.Attempt)
	}
}

// injectFaults changes the faults of the store and restarts agents until ctx
// ends.
func (s *orderSystem) injectFaults(ctx context.Context) {
	for ctx.Err() == nil {
		s.store.SetFaults(memstore.Faults{
			Outage:        s.pick(6) == 0,
			Delay:         time.Duration(s.pick(30)) * time.Millisecond,
			DropResponses: s.pick(3),
			LateWrites:    s.pick(3),
			LateBy:        time.Duration(s.pick(300)) * time.Millisecond,
			StaleMax:      s.pick(4),
		})
		if s.pick(8) == 0 {
			s.agents[ident.VM(fmt.Sprint("agent", s.pick(faultyAgents)))].restart()
		}
		s.sleep(200 * time.Millisecond)
	}
}

// TestNoOrderRunsTwiceUnderFaults repeats keys at three routers, with the real
// driver, while the store loses, delays and repeats responses and agents
// restart.
func TestNoOrderRunsTwiceUnderFaults(t *testing.T) {
	total := make(map[string]int)
	for seed := range uint64(faultyRounds) {
		synctest.Test(t, func(t *testing.T) {
			s := newOrderSystem(seed)
			ctx, stop := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			wg.Go(func() { s.injectFaults(ctx) })
			s.serveRequests()
			stop()
			wg.Wait()
			for key, n := range s.runs {
				total["run"]++
				if n > 1 {
					t.Errorf("seed %d: %s ran %d times", seed, key, n)
				}
			}
			if n := s.counts["untrue"]; n > 0 {
				t.Errorf("seed %d: %d requests were rejected as not run after their order had run", seed, n)
			}
			for what, n := range s.counts {
				total[what] += n
			}
		})
	}
	t.Logf("%v", total)
	for _, what := range []string{"run", "refused", "joined", "unknown", "died", "dispatched"} {
		if total[what] == 0 {
			t.Errorf("no request was %s", what)
		}
	}
}

// serveRequests makes all requests and closes the routers.
func (s *orderSystem) serveRequests() {
	var managers []*Manager
	for i := range faultyRouters {
		names := attempt.NewNameGenerator(ident.VM(fmt.Sprint("router", i)), 1)
		managers = append(managers, New(Options{
			Environment: "nordfjell", Store: s.store, Inquirer: s, NewAttempt: names.Keyed,
			Buckets: 2, Window: func() time.Duration { return simWindow },
		}))
	}
	var wg sync.WaitGroup
	for range faultyCalls {
		s.sleep(30 * time.Millisecond)
		m, key := managers[s.pick(faultyRouters)], fmt.Sprint("key", s.pick(faultyKeys))
		wg.Go(func() { s.request(m, key) })
	}
	wg.Wait()
	for _, m := range managers {
		m.Close()
	}
}
