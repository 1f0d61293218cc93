package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// runWindows simulates a saturated upstream with the mean run time mean(n) in
// seconds at limit n, and returns the final limit.
func runWindows(l *concurrencyLimit, windows int, mean func(n int) float64) int {
	r := rand.New(rand.NewPCG(1, 1))
	for range windows * limitWindowRequests {
		spread := math.Exp(0.5*r.NormFloat64() - 0.125)
		l.observe(time.Duration(mean(l.current()) * spread * float64(time.Second)))
	}
	return l.current()
}

func TestConcurrencyLimit(t *testing.T) {
	overcommitted := func(n int) float64 { return math.Pow(max(1, float64(n)/8), 1.5) }
	tests := []struct {
		name        string
		fixed       bool
		mean        func(int) float64
		least, most int
	}{
		{"constant run time keeps the configured limit", false, func(int) float64 { return 1 }, 16, 16},
		{"batching upstream keeps the configured limit", false, func(n int) float64 { return 1 + float64(n)/40 }, 16, 16},
		{"overcommitted upstream lowers the limit", false, overcommitted, 6, 12},
		{"fixed limit does not change", true, overcommitted, 16, 16},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newConcurrencyLimit(1, 16, tt.fixed)
			runWindows(&l, 200, tt.mean)
			l.limitBeforeProbe = 0
			if got := runWindows(&l, 3, tt.mean); got < tt.least || got > tt.most {
				t.Errorf("limit %d, want %d to %d", got, tt.least, tt.most)
			}
		})
	}
}

func TestConcurrencyLimitRecovers(t *testing.T) {
	l := newConcurrencyLimit(1, 16, false)
	for range 10 {
		l.decrease()
	}
	if l.current() != 1 {
		t.Fatalf("limit %d after rejections, want 1", l.current())
	}
	if got := runWindows(&l, 400, func(int) float64 { return 1 }); got < 12 {
		t.Errorf("limit %d after the upstream recovered, want at least 12", got)
	}
}
