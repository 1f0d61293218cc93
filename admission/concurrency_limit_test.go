package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// settle runs a saturated upstream whose run times come from mean and returns the
// limit in the end.
func settle(l *concurrencyLimit, windows int, mean func(n int) float64) int {
	r := rand.New(rand.NewPCG(1, 1))
	for range windows * limitWindow {
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
		{"even upstream keeps the stated limit", false, func(int) float64 { return 1 }, 16, 16},
		{"batching upstream keeps the stated limit", false, func(n int) float64 { return 1 + float64(n)/40 }, 16, 16},
		{"overcommitted upstream is lowered", false, overcommitted, 6, 12},
		{"fixed limit stays", true, overcommitted, 16, 16},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newConcurrencyLimit(1, 16, tt.fixed)
			settle(&l, 200, tt.mean)
			l.probing = 0
			if got := settle(&l, 3, tt.mean); got < tt.least || got > tt.most {
				t.Errorf("limit %d, want %d to %d", got, tt.least, tt.most)
			}
		})
	}
}

func TestConcurrencyLimitComesBack(t *testing.T) {
	l := newConcurrencyLimit(1, 16, false)
	for range 10 {
		l.decrease()
	}
	if l.current() != 1 {
		t.Fatalf("limit %d after rejections, want 1", l.current())
	}
	if got := settle(&l, 400, func(int) float64 { return 1 }); got < 12 {
		t.Errorf("limit %d once the upstream is well, want 12 at least", got)
	}
}
