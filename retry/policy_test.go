package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/laureltally/laureltally/wire"
)

var start = time.Unix(1_000_000, 0)

func newBudget(t testing.TB, o BudgetOptions) *Budget {
	t.Helper()
	b, err := NewBudget(o)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func newPolicy(t testing.TB, b *Budget) *Policy {
	t.Helper()
	p, err := New(Options{Budget: b, Rand: rand.New(rand.NewPCG(1, 2))})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestDecide(t *testing.T) {
	retryable := Failure{Run: wire.RunStateNotRun, Code: wire.CodeOverloaded, Attempts: 1, Deadline: start.Add(time.Minute)}
	modified := func(change func(*Failure)) Failure {
		failure := retryable
		change(&failure)
		return failure
	}
	tests := []struct {
		name        string
		failure     Failure
		budgetSpent bool
		want        Reason
	}{
		{"not run", retryable, false, ""},
		{"may have run", modified(func(failure *Failure) { failure.Run = wire.RunStateUnknown }), false, ReasonUnrepeatable},
		{"may have run, idempotent", modified(func(failure *Failure) { failure.Run = wire.RunStateUnknown; failure.Idempotent = true }), false, ""},
		{"response started", modified(func(failure *Failure) { failure.ResponseStarted = true; failure.Idempotent = true }), false, ReasonUnrepeatable},
		{"permanent", modified(func(failure *Failure) { failure.Code = wire.CodeMalformed }), false, ReasonPermanent},
		{"third attempt", modified(func(failure *Failure) { failure.Attempts = 3 }), false, ReasonAttempts},
		{"deadline near", modified(func(failure *Failure) { failure.Deadline = start.Add(time.Second); failure.MinDuration = time.Second }), false, ReasonDeadline},
		{"budget spent", retryable, true, ReasonBudget},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBudget(t, BudgetOptions{})
			if tt.budgetSpent {
				b.Take(start)
			}
			got := newPolicy(t, b).Decide(start, tt.failure)
			if got.Retry != (tt.want == "") || got.Reason != tt.want {
				t.Errorf("Decide = %+v, want reason %q", got, tt.want)
			}
			if got.Retry && got.Remaining != tt.failure.Deadline.Sub(got.At) {
				t.Errorf("Remaining %v at %v, deadline %v", got.Remaining, got.At, tt.failure.Deadline)
			}
		})
	}
}

func TestDelayGrowsWithJitter(t *testing.T) {
	f := Failure{Run: wire.RunStateNotRun, Code: wire.CodeOverloaded, Deadline: start.Add(time.Hour)}
	var longest [3]time.Duration
	distinct := make(map[time.Duration]bool)
	for range 200 {
		for i := range longest {
			f.Attempts = i + 1
			d := retryDelay(t, f)
			longest[i] = max(longest[i], d)
			distinct[d] = true
		}
	}
	for i, limit := range []time.Duration{20 * time.Millisecond, 60 * time.Millisecond, 180 * time.Millisecond} {
		if longest[i] > limit || longest[i] < limit*9/10 {
			t.Errorf("longest delay after attempt %d is %v, want up to %v", i+1, longest[i], limit)
		}
	}
	if len(distinct) < 500 {
		t.Errorf("%d distinct delays of 600", len(distinct))
	}
}

var delayPolicy *Policy

func retryDelay(t *testing.T, f Failure) time.Duration {
	if delayPolicy == nil {
		delayPolicy = newPolicy(t, newBudget(t, BudgetOptions{}))
	}
	return delayPolicy.delay(f)
}

func TestBudgetProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, err := NewBudget(BudgetOptions{FloorPerSecond: 0.5})
		if err != nil {
			t.Fatal(err)
		}
		now, taken, successes := start, 0, 0
		b.Tokens(now)
		t.Repeat(map[string]func(*rapid.T){
			"success": func(*rapid.T) { successes++; b.Success(now) },
			"take": func(*rapid.T) {
				if b.Take(now) {
					taken++
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				limit := 1 + DefaultShare*float64(successes) + 0.5*now.Sub(start).Seconds()
				if float64(taken) > limit+1e-6 {
					t.Fatalf("%d taken, %v allowed", taken, limit)
				}
			},
		})
	})
}

func TestHedger(t *testing.T) {
	b := newBudget(t, BudgetOptions{})
	h, err := NewHedger(HedgeOptions{Budget: b})
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := h.Delay(true); ok {
		t.Error("hedges before any latency was observed")
	}
	r := rand.New(rand.NewPCG(1, 2))
	for range 5000 {
		h.ObserveLatency(time.Duration(r.Float64() * float64(time.Second)))
	}
	d, ok := h.Delay(true)
	if !ok || d < 900*time.Millisecond || d > time.Second {
		t.Errorf("Delay = %v, %v, want about the 0.95 quantile of latencies between 0 and 1 s", d, ok)
	}
	if _, ok := h.Delay(false); ok {
		t.Error("hedges a call that is not idempotent")
	}
	if h.Hedge(start, start.Add(time.Second), 2*time.Second) {
		t.Error("hedges although a second attempt would miss the deadline")
	}
	if !h.Hedge(start, start.Add(time.Minute), time.Second) || h.Hedge(start, start.Add(time.Minute), time.Second) {
		t.Error("want one hedge from a budget of one")
	}
}
