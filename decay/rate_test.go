package decay

import (
	"math"
	"testing"
	"time"
)

func TestRate(t *testing.T) {
	const halfLife = 5 * time.Second
	var r Rate
	now := time.Unix(1000, 0)
	if got := r.Get(now, halfLife); got != 0 {
		t.Errorf("rate before any event: %v, want 0", got)
	}
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		r.Add(now, halfLife)
	}
	if got := r.Get(now, halfLife); math.Abs(got-10) > 0.3 {
		t.Errorf("rate after a minute of ten events per second: %v, want about 10", got)
	}
	if got, want := r.Get(now.Add(halfLife), halfLife), r.Get(now, halfLife)/2; math.Abs(got-want) > 1e-9 {
		t.Errorf("rate after a half-life: %v, want %v", got, want)
	}
}
