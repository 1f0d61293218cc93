package keepalive

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// filledHistoryPolicy returns a HistoryPolicy with n models, their names, and
// its heap size in bytes.
func filledHistoryPolicy(b *testing.B, n int, daily bool) (*HistoryPolicy[ident.Model], []ident.Model, float64) {
	b.Helper()
	names := make([]ident.Model, n)
	for i := range names {
		names[i] = ident.Model(fmt.Sprint("model-", i))
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	p := newTestPolicy(b, Config[ident.Model]{DailyProfile: daily})
	for round := range 3 {
		for i, m := range names {
			p.Observe(m, t0.Add(time.Duration(round)*time.Hour+time.Duration(i)*time.Millisecond))
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	return p, names, float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// sizes are numbers of models (daily) and adapters on a VM.
var sizes = []struct {
	n     int
	daily bool
}{{14, true}, {140, true}, {1400, true}, {2600, false}, {26000, false}}

func BenchmarkObserve(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("keys=%d/daily=%v", s.n, s.daily), func(b *testing.B) {
			p, names, held := filledHistoryPolicy(b, s.n, s.daily)
			now := t0.Add(4 * time.Hour)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				p.Observe(names[i%len(names)], now)
			}
			b.ReportMetric(held/float64(s.n), "heldB/key")
		})
	}
}

func BenchmarkKeepUntil(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("keys=%d/daily=%v", s.n, s.daily), func(b *testing.B) {
			p, names, _ := filledHistoryPolicy(b, s.n, s.daily)
			now := t0.Add(4 * time.Hour)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				p.KeepUntil(names[i%len(names)], now)
			}
		})
	}
}

func BenchmarkEvictOrder(b *testing.B) {
	for _, idle := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("idle=%d", idle), func(b *testing.B) {
			p, names, _ := filledHistoryPolicy(b, 140, true)
			now := t0.Add(4 * time.Hour)
			b.ReportAllocs()
			for b.Loop() {
				p.EvictOrder(names[:idle], now)
			}
		})
	}
}

func BenchmarkPrewarm(b *testing.B) {
	for _, n := range []int{14, 140, 1400} {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			p, _, _ := filledHistoryPolicy(b, n, true)
			now := t0.Add(4 * time.Hour)
			b.ReportAllocs()
			for b.Loop() {
				p.Prewarm(now)
			}
		})
	}
}
