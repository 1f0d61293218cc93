package agent

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/laureltally/laureltally/admission"
	"github.com/laureltally/laureltally/wire"
)

func testLane(t *testing.T, now func() time.Time) *lane {
	t.Helper()
	q, err := admission.New(admission.Options{Concurrency: 1, FixedConcurrency: true, Rand: rand.New(rand.NewPCG(1, 1))})
	if err != nil {
		t.Fatal(err)
	}
	return &lane{admitter: newAdmitter(q, now)}
}

// TestStreamsAreJudgedByTheirFirstPart runs streams of 10 s whose first part
// comes after 100 ms. One that is due in 2 s is admitted, one that is due in
// 50 ms is refused at once.
func TestStreamsAreJudgedByTheirFirstPart(t *testing.T) {
	now := time.UnixMilli(0)
	l := testLane(t, func() time.Time { return now })
	for range 20 {
		d := &wire.Dispatch{Attempt: "seen", Stream: true}
		if r := l.enter(t.Context(), l.item(d, now.Add(time.Hour))); r != nil {
			t.Fatalf("refused: %+v", r)
		}
		l.noteFirst(100 * time.Millisecond)
		now = now.Add(10 * time.Second)
		l.leave("seen", admission.Succeeded)
	}
	d := &wire.Dispatch{Attempt: "next", Stream: true}
	if r := l.enter(t.Context(), l.item(d, now.Add(2*time.Second))); r != nil {
		t.Fatalf("refused: %+v", r)
	}
	l.leave("next", admission.Succeeded)
	r := l.enter(t.Context(), l.item(d, now.Add(50*time.Millisecond)))
	if r == nil || r.Code != wire.CodeDeadline || r.Run != wire.RunStateNotRun {
		t.Fatalf("got %+v", r)
	}
}
