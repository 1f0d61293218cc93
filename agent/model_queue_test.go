package agent

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/laureltally/laureltally/admission"
	"github.com/laureltally/laureltally/wire"
)

func newTestQueue(t *testing.T, now func() time.Time) *modelQueue {
	t.Helper()
	q, err := admission.New(admission.Options{Concurrency: 1, FixedConcurrency: true, Rand: rand.New(rand.NewPCG(1, 1))})
	if err != nil {
		t.Fatal(err)
	}
	return &modelQueue{admitter: newAdmitter(q, now)}
}

// TestStreamDeadlineAppliesToFirstToken runs streams of 10 s whose first token
// arrives after 100 ms. A stream due in 2 s is admitted, one due in 50 ms is
// refused at once.
func TestStreamDeadlineAppliesToFirstToken(t *testing.T) {
	now := time.UnixMilli(0)
	mq := newTestQueue(t, func() time.Time { return now })
	for range 20 {
		d := &wire.Dispatch{Attempt: "seen", Stream: true}
		if r := mq.admit(t.Context(), mq.item(d, now.Add(time.Hour))); r != nil {
			t.Fatalf("refused: %+v", r)
		}
		mq.observeFirstToken(100 * time.Millisecond)
		now = now.Add(10 * time.Second)
		mq.finish("seen", admission.Succeeded)
	}
	d := &wire.Dispatch{Attempt: "next", Stream: true}
	if r := mq.admit(t.Context(), mq.item(d, now.Add(2*time.Second))); r != nil {
		t.Fatalf("stream due in 2 s refused: %+v", r)
	}
	mq.finish("next", admission.Succeeded)
	r := mq.admit(t.Context(), mq.item(d, now.Add(50*time.Millisecond)))
	if r == nil || r.Code != wire.CodeDeadline || r.Run != wire.RunStateNotRun {
		t.Fatalf("admit = %+v, want a refusal by deadline", r)
	}
}
