package residency

import (
	"testing"
	"time"
)

// During a load of six seconds from the weight store the engine is read at its idle
// interval until the end is near, and the end is noticed soon.
func TestLongLoadIsPolledAtIdleInterval(t *testing.T) {
	const idle, busy = 150 * time.Millisecond, 40 * time.Millisecond
	h := newHarness(t)
	h.holdOrders = true
	h.reserve(Request{ID: 1, Model: "a", MaxWait: time.Minute})
	// The first permit request was speculative, before any request.
	request := h.permitRequests[len(h.permitRequests)-1]
	if request.Model != "a" {
		t.Fatalf("permit requested for %q", request.Model)
	}
	h.apply(h.scheduler.PermitDecided(h.now, request.ID, "a", PermitGranted))
	if len(h.orders) != 1 {
		t.Fatalf("%d orders", len(h.orders))
	}
	begun, reads := h.now, 0
	for end := begun.Add(6 * time.Second); h.now.Before(end); reads++ {
		h.now = h.now.Add(h.scheduler.PollDelay(h.now, idle, busy))
	}
	if most := int(6*time.Second/idle) + 5; reads > most {
		t.Errorf("%d reads, want at most %d", reads, most)
	}
	if late := h.now.Sub(begun) - 6*time.Second; late > busy {
		t.Errorf("polled %v after the end", late)
	}
	if p := h.scheduler.PollDelay(h.now, idle, busy); p != busy {
		t.Errorf("overdue order polled after %v", p)
	}
}

// Requests that wait only for capacity need no faster reads.
func TestFullEngineIsPolledAtIdleInterval(t *testing.T) {
	h := newHarness(t, "a")
	for id := range RequestID(40) {
		h.reserve(Request{ID: id + 1, Model: "a", MaxWait: time.Minute})
	}
	if queued := h.scheduler.queued(); queued == 0 {
		t.Fatal("no request is queued")
	}
	if p := h.scheduler.PollDelay(h.now, time.Second, time.Millisecond); p != time.Second {
		t.Errorf("polled after %v", p)
	}
}
