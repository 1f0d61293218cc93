package residency

import (
	"testing"
	"time"
)

// A load from the weight store takes six seconds: the engine is read at its idle
// pace until the end is near, and the end is seen soon.
func TestEngineIsReadSeldomDuringALongLoad(t *testing.T) {
	const idle, busy = 150 * time.Millisecond, 40 * time.Millisecond
	w := newWorld(t)
	w.hold = true
	w.reserve(Request{ID: 1, Model: "a", MaxWait: time.Minute})
	// The first place was asked for ahead of any request.
	f := w.fetches[len(w.fetches)-1]
	if f.Model != "a" {
		t.Fatalf("a place asked for %q", f.Model)
	}
	w.do(w.m.PermitDecided(w.now, f.ID, "a", true))
	if len(w.orders) != 1 {
		t.Fatalf("%d orders", len(w.orders))
	}
	begun, reads := w.now, 0
	for end := begun.Add(6 * time.Second); w.now.Before(end); reads++ {
		w.now = w.now.Add(w.m.PollDelay(w.now, idle, busy))
	}
	if most := int(6*time.Second/idle) + 5; reads > most {
		t.Errorf("%d reads, want at most %d", reads, most)
	}
	if late := w.now.Sub(begun) - 6*time.Second; late > busy {
		t.Errorf("read %v after the end", late)
	}
	if p := w.m.PollDelay(w.now, idle, busy); p != busy {
		t.Errorf("an overdue order is read after %v", p)
	}
}

// Requests that wait for nothing but a place need no reads.
func TestFullEngineIsReadAtItsIdlePace(t *testing.T) {
	w := newWorld(t, "a")
	for id := range RequestID(40) {
		w.reserve(Request{ID: id + 1, Model: "a", MaxWait: time.Minute})
	}
	if queued := w.m.queued(); queued == 0 {
		t.Fatal("nothing waits")
	}
	if p := w.m.PollDelay(w.now, time.Second, time.Millisecond); p != time.Second {
		t.Errorf("read after %v", p)
	}
}
