package residency

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/laureltally/laureltally/engine"
)

const testGap = 300 * time.Millisecond

// pacedHarness is a harness with an engine whose running streams make an event each
// eventTime, which has learned its pace.
type pacedHarness struct {
	*harness
	eventTime time.Duration
	progress  float64
	streams   int
}

// newPacedHarness returns one with running streams and a prefill rate of 20 tokens/ms.
func newPacedHarness(t *testing.T, streams int) *pacedHarness {
	t.Helper()
	h := &pacedHarness{harness: newHarness(t, "a"), eventTime: 30 * time.Millisecond, streams: streams}
	h.advance(time.Millisecond)
	for i := range 12 {
		id := RequestID(1000 + i)
		h.reserve(Request{ID: id, Model: "a", PromptTokens: 1000, SlownessStated: true})
		h.advance(time.Second)
		h.apply(h.scheduler.Release(h.now, id, Outcome{TimeToFirstEvent: 80 * time.Millisecond, Duration: 2 * time.Second, Slowness: 1}))
	}
	for i := range streams {
		h.reserve(Request{ID: RequestID(1 + i), Model: "a", PromptTokens: 1, MaxEventGap: testGap})
	}
	h.advance(time.Second)
	return h
}

// advance advances the clock with a snapshot of the runs each pacedRead.
func (h *pacedHarness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		step := min(pacedRead, end.Sub(h.now))
		h.now = h.now.Add(step)
		h.progress += float64(step) / float64(h.eventTime)
		h.snap.Runs = h.snap.Runs[:0]
		for i := range 8 {
			h.snap.Runs = append(h.snap.Runs, Run{ID: fmt.Sprint(i), Events: 1 + int(h.progress+float64(i)/8)})
		}
		h.observe()
	}
}

func (h *pacedHarness) ask(id RequestID, prompt int) {
	h.reserve(Request{ID: id, Model: "a", PromptTokens: prompt, MaxWait: 480 * time.Millisecond, Objective: 800 * time.Millisecond, MaxEventGap: testGap})
}

func (h *pacedHarness) isGranted(id RequestID) bool {
	for _, g := range h.granted {
		if g == id {
			return true
		}
	}
	return false
}

// A prompt that fits at the usual pace waits while the engine is in a slow phase, and the
// number of streams that the engine takes stays. It guards against prompts that make all
// streams pause for longer than accepted, and against limits that a short phase lowers.
func TestSlowPhaseHoldsPromptsBack(t *testing.T) {
	const prompt = 1700
	h := newPacedHarness(t, 4)
	_, limit, _ := h.scheduler.Load(h.now)
	h.eventTime = 90 * time.Millisecond
	h.advance(120 * time.Millisecond)
	h.ask(50, prompt)
	if h.isGranted(50) || h.refused[50] != nil && h.refused[50].RetryAfter > slowPhase {
		t.Fatalf("granted %v, refused %+v at a slowness of %.1f", h.granted, h.refused[50], h.scheduler.Pace(h.now).Slowness)
	}
	h.advance(200 * time.Millisecond)
	h.ask(51, prompt)
	if h.isGranted(51) || h.refused[51] != nil {
		t.Fatalf("near the end of a slow phase: granted %v, refused %+v", h.granted, h.refused[51])
	}
	if _, now, _ := h.scheduler.Load(h.now); now != limit {
		t.Errorf("limit %d in a slow phase, %d before", now, limit)
	}
	h.eventTime = 30 * time.Millisecond
	h.advance(200 * time.Millisecond)
	if !h.isGranted(51) {
		t.Errorf("not granted after the slow phase, refused %+v", h.refused[51])
	}
}

// Prompts that arrive one after the other are spread, also when each finds the one before
// prefilled: an event takes several steps of the engine, each with a prompt of its own.
func TestSuccessivePromptsAreSpread(t *testing.T) {
	const prompt, perMS = 600, 20
	h := newPacedHarness(t, 4)
	var admitted []time.Time
	for i := range 60 {
		id := RequestID(100 + i)
		h.ask(id, prompt)
		if h.isGranted(id) {
			admitted = append(admitted, h.now)
		}
		h.apply(h.scheduler.Release(h.now, id, Outcome{}))
		h.advance(prompt / perMS * time.Millisecond)
	}
	for i := range admitted {
		tokens := 0
		for _, at := range admitted[i:] {
			if at.Sub(admitted[i]) < testGap {
				tokens += prompt
			}
		}
		if took := time.Duration(tokens/perMS) * time.Millisecond; took+30*time.Millisecond > testGap {
			t.Fatalf("%v of prefill within an accepted pause", took)
		}
	}
	if len(admitted) < 20 {
		t.Errorf("%d of 60 prompts admitted", len(admitted))
	}
}

// A prompt that would make many streams pause for too long is refused at once, so that a
// faster engine gets it and no other request waits behind it. Beside few streams it is
// admitted, or it would not be served where all engines are slow.
func TestTooLongPromptIsRefusedBesideManyStreams(t *testing.T) {
	for streams, want := range map[int]bool{1: true, fewStreams: true, fewStreams + 1: false} {
		h := newPacedHarness(t, streams)
		h.ask(50, 5500)
		if h.isGranted(50) != want || (h.refused[50] == nil) != want {
			t.Errorf("beside %d streams: granted %v, refused %+v", streams, h.isGranted(50), h.refused[50])
		}
	}
}

// A request whose model was loaded while other streams began does not keep shorter ones waiting
// until it times out.
func TestTooLongPromptThatWaitedForItsModelBlocksNoOther(t *testing.T) {
	h := newPacedHarness(t, fewStreams)
	h.snap.Tiers["b"] = engine.TierDisk
	h.holdOrders = true
	h.reserve(Request{ID: 50, Model: "b", PromptTokens: 7000, MaxWait: 5 * time.Second, Objective: 4 * time.Second, MaxEventGap: testGap})
	h.ask(51, 100)
	h.execute(h.orders[len(h.orders)-1])
	h.scheduler.OrderAnswered(h.now, OrderAccepted)
	h.advance(100 * time.Millisecond)
	if r := h.refused[50]; r == nil || r.Reason != ReasonPromptTooLong {
		t.Errorf("beside %d streams: refused %+v", fewStreams+1, r)
	}
	h.ask(52, 100)
	if !h.isGranted(52) {
		t.Errorf("granted %v", h.granted)
	}
}

// The lasting pace is learned for each engine, whatever part of the time it is slow.
func TestLastingPaceIgnoresSlowPhases(t *testing.T) {
	for _, speed := range []float64{0.6, 1, 1.6} {
		h := newPacedHarness(t, 4)
		usual := time.Duration(30 / speed * float64(time.Millisecond))
		for range 6 {
			h.eventTime = usual
			h.advance(3400 * time.Millisecond)
			h.eventTime = usual * 5 / 2
			h.advance(600 * time.Millisecond)
			if got := h.scheduler.Pace(h.now).Slowness; got < 2 {
				t.Errorf("speed %.1f: slowness of %.1f at the end of a slow phase", speed, got)
			}
		}
		if got := h.scheduler.Pace(h.now).EventTime; math.Abs(float64(got)/float64(usual)-1) > 0.15 {
			t.Errorf("speed %.1f: %v between events, want %v", speed, got, usual)
		}
	}
}

// The prefill time of a token does not contain the way between engine and router, which is
// longer than the prefill of most prompts where they are in different regions.
func TestPrefillTimeLeavesOutTheWayToTheRouter(t *testing.T) {
	learned := func(roundTrip time.Duration) float64 {
		a := newPacedAdmission()
		for range 50 {
			a.ended(start, &pending{prefillAhead: 1000}, Outcome{TimeToFirstEvent: 100*time.Millisecond + roundTrip, RoundTrip: roundTrip, Slowness: 1})
		}
		return a.rate(start)
	}
	if near, far := learned(0), learned(60*time.Millisecond); math.Abs(near/far-1) > 0.01 {
		t.Errorf("%.1f tokens/ms from a near router, %.1f from a far one", near, far)
	}
}

// The concurrency in reports follows the prefill that the streams of an engine bring: routers
// fill VMs up to a share of it.
func TestStatedConcurrencyFollowsPrefill(t *testing.T) {
	limit := func(own time.Duration) float64 {
		var c streamCapacity
		for now := start; now.Before(start.Add(time.Minute)); now = now.Add(500 * time.Millisecond) {
			c.admitted(now, own)
			c.ended(2*time.Second, own)
		}
		return c.limit(prefillTarget)
	}
	short, long := limit(25*time.Millisecond), limit(100*time.Millisecond)
	// At two a second the engine prefills for 5 and 20 in 100 of the time.
	if want := 2 / 0.025 * 0.95 * 0.45 / 0.55; math.Abs(short/want-1) > 0.1 {
		t.Errorf("%.1f streams with short prompts, want %.1f", short, want)
	}
	if want := 2 / 0.1 * 0.8 * 0.45 / 0.55; math.Abs(long/want-1) > 0.1 {
		t.Errorf("%.1f streams with long prompts, want %.1f", long, want)
	}
}

// Callers see pauses that the reports do not show: then less is admitted.
func TestPausesOfCallersLowerAdmission(t *testing.T) {
	var f pauseFeedback
	now := start
	for range 20 {
		now = now.Add(decreaseInterval)
		f.ended(now, 2*testGap, testGap)
	}
	if f.scale() != minFeedback {
		t.Errorf("scale %v after many pauses", f.scale())
	}
	for range 200 {
		f.ended(now, testGap/2, testGap)
	}
	if f.scale() != 1 {
		t.Errorf("scale %v after many responses without pauses", f.scale())
	}
}

// A statement of the slowness counts for statedTTL, then the engine is admitted to as before.
func TestStatedSlownessExpires(t *testing.T) {
	h := newPacedHarness(t, 1)
	if !h.scheduler.Pace(h.now).InForce || h.scheduler.PollDelay(h.now, time.Second, time.Second) != pacedRead {
		t.Fatal("not in force after a statement")
	}
	h.advance(statedTTL + time.Second)
	if h.scheduler.Pace(h.now).InForce || h.scheduler.PollDelay(h.now, time.Second, time.Second) != time.Second {
		t.Error("still in force after the statement has expired")
	}
	h.apply(h.scheduler.Release(h.now, 1, Outcome{TimeToFirstEvent: time.Millisecond, Slowness: 1.2}))
	if !h.scheduler.Pace(h.now).InForce {
		t.Error("not in force after an outcome with a slowness")
	}
}
