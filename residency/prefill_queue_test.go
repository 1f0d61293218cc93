package residency

import (
	"math/rand/v2"
	"testing"
	"time"
)

// burst is a world with a loaded model whose requests all come at once.
func burst(t *testing.T, prompts ...int) *world {
	t.Helper()
	w := newWorld(t, "a")
	for i, n := range prompts {
		w.reserve(Request{ID: RequestID(i + 1), Model: "a", CacheTokens: n, PromptTokens: n, MaxWait: time.Minute, MaxEventGap: 300 * time.Millisecond})
	}
	return w
}

// A burst of long prompts at an engine: they are read one after the other, so that
// running answers never pause for all of them, and the engine always has work.
func TestBurstOfPromptsIsSpread(t *testing.T) {
	const gap = 300 * time.Millisecond
	prompts := []int{900, 900, 900, 900, 900, 900}
	w := burst(t, prompts...)
	if len(w.granted) == 0 || len(w.granted) == len(prompts) {
		t.Fatalf("%d granted at once", len(w.granted))
	}
	whole := w.m.prefill.time(900 * len(prompts))
	for len(w.granted) < len(prompts) {
		at, due := w.m.NextGrant(w.now)
		if !due {
			t.Fatalf("nothing is due after %d", len(w.granted))
		}
		before := len(w.granted)
		w.now = at
		w.do(w.m.Tick(w.now))
		if len(w.granted) == before {
			t.Fatal("not granted when it was due")
		}
		if left := w.m.prefill.backlog(w.now); left > maxBacklog(gap) {
			t.Errorf("%v to read", left)
		}
	}
	if took := w.now.Sub(start); took > whole {
		t.Errorf("all granted after %v, the engine reads them in %v", took, whole)
	}
}

// A prompt that is longer than all that may wait to be read is not passed over for
// ever by short ones.
func TestLongPromptKeepsItsTurn(t *testing.T) {
	w := burst(t, 1500, 6000, 100, 100)
	for len(w.granted) < 4 {
		at, due := w.m.NextGrant(w.now)
		if !due {
			t.Fatalf("only %v granted", w.granted)
		}
		w.now = at
		w.do(w.m.Tick(w.now))
	}
	for i, id := range w.granted {
		if id != RequestID(i+1) {
			t.Fatalf("granted in the order %v", w.granted)
		}
	}
}

// A caller whose prompt can't be read in time is refused at once, with the time
// after which it can.
func TestPromptThatComesTooLateIsRefused(t *testing.T) {
	w := burst(t, 2000, 2000, 2000, 2000)
	w.reserve(Request{ID: 9, Model: "a", CacheTokens: 1000, PromptTokens: 1000, MaxWait: 100 * time.Millisecond, MaxEventGap: 300 * time.Millisecond})
	r := w.refused[9]
	if r == nil || r.Reason != ReasonFull || r.RetryAfter <= 100*time.Millisecond {
		t.Errorf("got %+v", r)
	}
}

// The rate follows answers that tell of another one, through noise.
func TestRateOfReadingIsLearnt(t *testing.T) {
	for _, perMS := range []float64{5, 25, 60} {
		p, r := newPrefillQueue(), rand.New(rand.NewPCG(1, 2))
		for range 400 {
			tokens := 200 + r.IntN(3000)
			p.learn(tokens, time.Duration((60+float64(tokens)/perMS+20*r.NormFloat64())*float64(time.Millisecond)))
		}
		if got := p.rate(); got < 0.8*perMS || got > 1.2*perMS {
			t.Errorf("learnt %v of %v", got, perMS)
		}
	}
}

// Answers that tell nothing leave the rate within its bounds.
func TestRateOfReadingStaysWithinBounds(t *testing.T) {
	p := newPrefillQueue()
	for range 1000 {
		p.learn(1000, time.Millisecond)
	}
	if got := p.rate(); got < minPrefillRate || got > maxPrefillRate {
		t.Errorf("%v", got)
	}
}
