package hotpath

import (
	"reflect"
	"testing"
	"time"
)

func smallScenario(seed uint64, p Policy) Scenario {
	return Scenario{
		Seed: seed, WarmUp: 5 * time.Second, End: 15 * time.Second,
		VMs: []int{2, 2}, Routers: 2,
		Offered:               func(time.Duration) []float64 { return []float64{1, 1} },
		Classes:               []Class{{Priority: 0, Share: 0.3, Deadline: 2 * time.Second}, {Priority: 1, Share: 0.7, Deadline: 4 * time.Second}},
		Concurrency:           4,
		ConfiguredConcurrency: 4,
		RunTime:               400 * time.Millisecond,
		Sigma:                 0.5,
		Idempotent:            0.8,
		ReportInterval:        250 * time.Millisecond,
		ReportLag:             250 * time.Millisecond,
		Policy:                p,
	}
}

func TestSimulationIsReproducible(t *testing.T) {
	a, b := Run(smallScenario(1, Policy{})), Run(smallScenario(1, Policy{}))
	if !reflect.DeepEqual(a.AnsweredPerSecond, b.AnsweredPerSecond) || a.Attempts != b.Attempts {
		t.Errorf("two simulations with one seed differ: %v, %v", a.AnsweredPerSecond, b.AnsweredPerSecond)
	}
	if c := Run(smallScenario(2, Policy{})); reflect.DeepEqual(a.AnsweredPerSecond, c.AnsweredPerSecond) {
		t.Error("simulations with two seeds are equal")
	}
}

func TestEveryRequestEndsOnce(t *testing.T) {
	for _, p := range []Policy{{}, {Queue: FIFO, Route: RoundRobin}, {Hedging: true}} {
		s := smallScenario(1, p)
		s.Offered = func(at time.Duration) []float64 {
			if at > 8*time.Second {
				return []float64{0, 0}
			}
			return []float64{1, 1}
		}
		s.End = 60 * time.Second
		r := Run(s)
		if got := r.Answered + r.Late + r.Refused; got != r.Requests || r.Requests == 0 {
			t.Errorf("%+v: %d of %d requests ended", p, got, r.Requests)
		}
	}
}
