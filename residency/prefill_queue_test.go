package residency

import (
	"math/rand/v2"
	"testing"
	"time"
)

// burst returns a harness with a loaded model whose requests all arrive at once.
func burst(t *testing.T, prompts ...int) *harness {
	t.Helper()
	h := newHarness(t, "a")
	for i, n := range prompts {
		h.reserve(Request{ID: RequestID(i + 1), Model: "a", CacheTokens: n, PromptTokens: n, MaxWait: time.Minute, MaxEventGap: 300 * time.Millisecond})
	}
	return h
}

// A burst of long prompts is admitted one after the other, so that running streams
// never stall for all of them, while the engine always has work.
func TestPromptBurstIsSpread(t *testing.T) {
	const gap = 300 * time.Millisecond
	prompts := []int{900, 900, 900, 900, 900, 900}
	h := burst(t, prompts...)
	if len(h.granted) == 0 || len(h.granted) == len(prompts) {
		t.Fatalf("%d granted at once", len(h.granted))
	}
	whole := h.scheduler.prefill.duration(900 * len(prompts))
	for len(h.granted) < len(prompts) {
		at, due := h.scheduler.NextGrant(h.now)
		if !due {
			t.Fatalf("nothing is due after %d", len(h.granted))
		}
		before := len(h.granted)
		h.now = at
		h.apply(h.scheduler.Tick(h.now))
		if len(h.granted) == before {
			t.Fatal("not granted when it was due")
		}
		if left := h.scheduler.prefill.backlog(h.now); left > maxBacklog(gap) {
			t.Errorf("prefill backlog of %v", left)
		}
	}
	if took := h.now.Sub(start); took > whole {
		t.Errorf("all granted after %v, the engine prefills them in %v", took, whole)
	}
}

// A prompt longer than the maximum backlog is not starved by short ones.
func TestLongPromptIsNotStarved(t *testing.T) {
	h := burst(t, 1500, 6000, 100, 100)
	for len(h.granted) < 4 {
		at, due := h.scheduler.NextGrant(h.now)
		if !due {
			t.Fatalf("only %v granted", h.granted)
		}
		h.now = at
		h.apply(h.scheduler.Tick(h.now))
	}
	for i, id := range h.granted {
		if id != RequestID(i+1) {
			t.Fatalf("granted in the order %v", h.granted)
		}
	}
}

// A request whose prompt can't be prefilled in time is refused at once, with the
// delay after which it can.
func TestPromptThatCannotBePrefilledInTimeIsRefused(t *testing.T) {
	h := burst(t, 2000, 2000, 2000, 2000)
	h.reserve(Request{ID: 9, Model: "a", CacheTokens: 1000, PromptTokens: 1000, MaxWait: 100 * time.Millisecond, MaxEventGap: 300 * time.Millisecond})
	r := h.refused[9]
	if r == nil || r.Reason != ReasonFull || r.RetryAfter <= 100*time.Millisecond {
		t.Errorf("got %+v", r)
	}
}

// The rate estimate follows responses at a different rate despite noise.
func TestPrefillRateIsEstimated(t *testing.T) {
	for _, perMS := range []float64{5, 25, 60} {
		p, r := newPrefillQueue(), rand.New(rand.NewPCG(1, 2))
		for range 400 {
			tokens := 200 + r.IntN(3000)
			p.observe(tokens, time.Duration((60+float64(tokens)/perMS+20*r.NormFloat64())*float64(time.Millisecond)))
		}
		if got := p.rate(); got < 0.8*perMS || got > 1.2*perMS {
			t.Errorf("estimated %v, actual rate %v", got, perMS)
		}
	}
}

// Implausible responses leave the rate within its bounds.
func TestPrefillRateStaysWithinBounds(t *testing.T) {
	p := newPrefillQueue()
	for range 1000 {
		p.observe(1000, time.Millisecond)
	}
	if got := p.rate(); got < minPrefillRate || got > maxPrefillRate {
		t.Errorf("%v", got)
	}
}
