package keepalive

import (
	"errors"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
)

var t0 = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func newTestPolicy(t testing.TB, cfg Config[ident.Model]) *HistoryPolicy[ident.Model] {
	t.Helper()
	p, err := New[ident.Model](cfg)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// observeEvery records n requests of m at intervals of gap and returns the time
// of the last.
func observeEvery(p *HistoryPolicy[ident.Model], m ident.Model, n int, gap time.Duration) time.Time {
	now := t0
	for range n {
		now = now.Add(gap)
		p.Observe(m, now)
	}
	return now
}

func TestNewRejectsInvalidConfig(t *testing.T) {
	invalid := []Config[ident.Model]{
		{Aim: config.Aim{ColdStart: -1, IdleHours: 1}},
		{Aim: config.Aim{ColdStart: 1}},
		{MaxKeys: -1},
		{MinKeep: time.Hour, MaxKeep: time.Minute},
	}
	for _, cfg := range invalid {
		_, err := New[ident.Model](cfg)
		var ce *ConfigError
		if !errors.As(err, &ce) {
			t.Errorf("New(%+v) = %v, want a *ConfigError", cfg, err)
		}
	}
}

func TestKeepUntilCoversRegularGap(t *testing.T) {
	p := newTestPolicy(t, Config[ident.Model]{})
	last := observeEvery(p, "steady", 60, 4*time.Minute)
	if keep := p.KeepUntil("steady", last).Sub(last); keep < 4*time.Minute {
		t.Errorf("keep = %v, shorter than the regular gap of 4 minutes", keep)
	}
}

func TestKeepUntilIsShortForRareModel(t *testing.T) {
	p := newTestPolicy(t, Config[ident.Model]{})
	last := observeEvery(p, "rare", 60, 20*time.Hour)
	if keep := p.KeepUntil("rare", last).Sub(last); keep > time.Minute {
		t.Errorf("keep = %v for a model requested every 20 hours", keep)
	}
}

func TestKeepGrowsWithWeightOfColdStart(t *testing.T) {
	low := newTestPolicy(t, Config[ident.Model]{Aim: config.Aim{ColdStart: 1, IdleHours: 3}})
	high := newTestPolicy(t, Config[ident.Model]{Aim: config.Aim{ColdStart: 3, IdleHours: 1}})
	a, b := low.KeepUntil("new", t0), high.KeepUntil("new", t0)
	if !b.After(a) {
		t.Errorf("KeepUntil = %v at a low cold-start weight, %v at a high one", a, b)
	}
}

func TestEvictOrderPutsLeastLikelyFirst(t *testing.T) {
	p := newTestPolicy(t, Config[ident.Model]{})
	end := observeEvery(p, "rare", 40, 6*time.Hour)
	now := end.Add(-40 * 2 * time.Minute)
	for range 40 {
		now = now.Add(2 * time.Minute)
		p.Observe("busy", now)
	}
	got := p.EvictOrder([]ident.Model{"busy", "rare"}, end)
	if want := []ident.Model{"rare", "busy"}; !slices.Equal(got, want) {
		t.Errorf("EvictOrder = %v, want %v", got, want)
	}
}

func TestHistoryIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newTestPolicy(t, Config[ident.Model]{MaxKeys: 10})
		now := t0
		for range 200 {
			m := rapid.StringMatching("[a-z]").Draw(rt, "model")
			now = now.Add(time.Duration(rapid.IntRange(0, 7200).Draw(rt, "gap")) * time.Second)
			p.Observe(ident.Model(m), now)
			until := p.KeepUntil(ident.Model(m), now)
			if until.Before(now) || until.Sub(now) > DefaultMaxKeep {
				rt.Fatalf("KeepUntil is %v after the last use", until.Sub(now))
			}
		}
		if p.Len() > 10 || len(p.index) != p.Len() {
			rt.Fatalf("%d entries and %d keys, want at most 10 of each", p.Len(), len(p.index))
		}
	})
}
