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

// agentVM is an agent that runs orders for a while and restarts now and then.
type agentVM struct {
	mu          sync.Mutex
	incarnation ident.Incarnation
	table       *attempt.Table
}

func (a *agentVM) restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incarnation++
	a.table = attempt.NewTable(attempt.Options{Incarnation: a.incarnation, KeyedRetention: worldWindow})
}

func (a *agentVM) target(vm ident.VM) Target {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Target{VM: vm, Incarnation: a.incarnation}
}

// shop is the whole path of orders, from callers through routers to agents.
type shop struct {
	store  *memstore.Store
	agents map[ident.VM]*agentVM

	mu     sync.Mutex
	random *rand.Rand
	runs   map[string]int
	counts map[string]int
}

func newShop(seed uint64) *shop {
	s := &shop{
		store: memstore.New(memstore.Options{Seed: seed}), agents: make(map[ident.VM]*agentVM),
		random: rand.New(rand.NewPCG(seed, 0)), runs: make(map[string]int), counts: make(map[string]int),
	}
	for i := range faultyAgents {
		a := &agentVM{}
		a.restart()
		s.agents[ident.VM(fmt.Sprint("agent", i))] = a
	}
	return s
}

func (s *shop) pick(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *shop) runsOf(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

func (s *shop) sleep(most time.Duration) { time.Sleep(time.Duration(s.pick(int(most)))) }

func (s *shop) note(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what]++
}

func (s *shop) choose() (Target, error) {
	if s.pick(8) == 0 {
		return Target{}, &noTargetError{}
	}
	vm := ident.VM(fmt.Sprint("agent", s.pick(faultyAgents)))
	return s.agents[vm].target(vm), nil
}

// Inquire implements Asker. One in ten answers is lost.
func (s *shop) Inquire(_ context.Context, t Target, id ident.Attempt) (wire.AttemptState, error) {
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

// dispatch brings an attempt to its agent and returns whether it was refused as
// not run.
func (s *shop) dispatch(key string, o Outcome) bool {
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

// call makes one caller's request at a router, with its retries.
func (s *shop) call(k *Manager, key string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+s.pick(2000))*time.Millisecond)
	defer cancel()
	before := s.runsOf(key)
	for {
		out, err := k.Claim(ctx, key, "f", s.choose)
		if err != nil {
			var none *noTargetError
			if errors.As(err, &none) && before > 0 {
				s.note("untrue")
			}
			s.note("refused")
			return
		}
		if out.Kind != Dispatch {
			s.note([]string{Join: "joined", Unknown: "unknown"}[out.Kind])
			return
		}
		if s.pick(6) == 0 {
			s.note("died")
			return
		}
		if !s.dispatch(key, out) {
			s.note("dispatched")
			return
		}
		k.RecordNotRun(ctx, key, out.Attempt)
	}
}

// trouble changes the faults of the platform and restarts agents until ctx ends.
func (s *shop) trouble(ctx context.Context) {
	for ctx.Err() == nil {
		s.store.SetFaults(memstore.Faults{
			Outage:      s.pick(6) == 0,
			Delay:       time.Duration(s.pick(30)) * time.Millisecond,
			LoseAnswers: s.pick(3),
			LateWrites:  s.pick(3),
			LateBy:      time.Duration(s.pick(300)) * time.Millisecond,
			StaleMax:    s.pick(4),
		})
		if s.pick(8) == 0 {
			s.agents[ident.VM(fmt.Sprint("agent", s.pick(faultyAgents)))].restart()
		}
		s.sleep(200 * time.Millisecond)
	}
}

// TestNoOrderIsDoubledUnderFaults lets callers repeat keys at three routers, with
// the real driver, while the platform loses, delays and repeats its answers and
// agents restart.
func TestNoOrderIsDoubledUnderFaults(t *testing.T) {
	total := make(map[string]int)
	for seed := range uint64(faultyRounds) {
		synctest.Test(t, func(t *testing.T) {
			s := newShop(seed)
			ctx, stop := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			wg.Go(func() { s.trouble(ctx) })
			s.serve()
			stop()
			wg.Wait()
			for key, n := range s.runs {
				total["run"]++
				if n > 1 {
					t.Errorf("seed %d: %s ran %d times", seed, key, n)
				}
			}
			if n := s.counts["untrue"]; n > 0 {
				t.Errorf("seed %d: %d calls were refused as not run after their order had run", seed, n)
			}
			for what, n := range s.counts {
				total[what] += n
			}
		})
	}
	t.Logf("%v", total)
	for _, what := range []string{"run", "refused", "joined", "unknown", "died", "dispatched"} {
		if total[what] == 0 {
			t.Errorf("nothing was %s", what)
		}
	}
}

// serve makes all calls and closes the routers.
func (s *shop) serve() {
	var keepers []*Manager
	for i := range faultyRouters {
		minter := attempt.NewNameGenerator(ident.VM(fmt.Sprint("router", i)), 1)
		keepers = append(keepers, New(Options{
			Environment: "nordfjell", Store: s.store, Inquirer: s, NewAttempt: minter.Keyed,
			Buckets: 2, Window: func() time.Duration { return worldWindow },
		}))
	}
	var wg sync.WaitGroup
	for range faultyCalls {
		s.sleep(30 * time.Millisecond)
		k, key := keepers[s.pick(faultyRouters)], fmt.Sprint("key", s.pick(faultyKeys))
		wg.Go(func() { s.call(k, key) })
	}
	wg.Wait()
	for _, k := range keepers {
		k.Close()
	}
}
