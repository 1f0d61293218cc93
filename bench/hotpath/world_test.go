package hotpath

import (
	"reflect"
	"testing"
	"time"
)

func small(seed uint64, p Policy) Scenario {
	return Scenario{
		Seed: seed, Warm: 5 * time.Second, End: 15 * time.Second,
		VMs: []int{2, 2}, Routers: 2,
		Offered:     func(time.Duration) []float64 { return []float64{1, 1} },
		Classes:     []Class{{Priority: 0, Share: 0.3, Deadline: 2 * time.Second}, {Priority: 1, Share: 0.7, Deadline: 4 * time.Second}},
		Places:      4,
		Stated:      4,
		Service:     400 * time.Millisecond,
		Sigma:       0.5,
		Idempotent:  0.8,
		ReportEvery: 250 * time.Millisecond,
		ReportLag:   250 * time.Millisecond,
		Policy:      p,
	}
}

func TestReplayRepeatsItself(t *testing.T) {
	a, b := Run(small(1, Policy{})), Run(small(1, Policy{}))
	if !reflect.DeepEqual(a.PerSecond, b.PerSecond) || a.Attempts != b.Attempts {
		t.Errorf("two replays of one seed differ: %v, %v", a.PerSecond, b.PerSecond)
	}
	if c := Run(small(2, Policy{})); reflect.DeepEqual(a.PerSecond, c.PerSecond) {
		t.Error("replays of two seeds are equal")
	}
}

func TestEveryRequestEndsOnce(t *testing.T) {
	for _, p := range []Policy{{}, {Queue: FIFO, Route: RoundRobin}, {Hedging: true}} {
		s := small(1, p)
		s.Offered = func(at time.Duration) []float64 {
			if at > 8*time.Second {
				return []float64{0, 0}
			}
			return []float64{1, 1}
		}
		s.End = 60 * time.Second
		r := Run(s)
		if got := r.Answered + r.Late + r.Refused; got != r.Asked || r.Asked == 0 {
			t.Errorf("%+v: %d of %d requests ended", p, got, r.Asked)
		}
	}
}
