package keepalive

import (
	"slices"
	"testing"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// observeMornings records a session of n requests at 09:00 on each working day
// of some weeks and returns the day after.
func observeMornings(p *HistoryPolicy[ident.Model], m ident.Model, weeks, n int) time.Time {
	day := t0.Truncate(24 * time.Hour)
	for range weeks * 7 {
		if d := day.Weekday(); d != time.Saturday && d != time.Sunday {
			for i := range n {
				at := day.Add(9*time.Hour + time.Duration(i)*time.Second)
				p.Observe(m, at)
				p.ObserveLoad(m, 10*time.Second, at.Add(10*time.Second))
			}
		}
		day = day.AddDate(0, 0, 1)
	}
	return day
}

func TestPrewarmAtTheUsualHour(t *testing.T) {
	p := newTestPolicy(t, Config[ident.Model]{DailyProfile: true})
	day := observeMornings(p, "outlook", 3, 6)
	if got := p.Prewarm(day.Add(9 * time.Hour)); !slices.Equal(got, []ident.Model{"outlook"}) {
		t.Errorf("Prewarm at the usual hour = %v", got)
	}
	if got := p.Prewarm(day.Add(3 * time.Hour)); len(got) != 0 {
		t.Errorf("Prewarm at night = %v", got)
	}
}

func TestStageOnlyFarAndLikelyModels(t *testing.T) {
	p := newTestPolicy(t, Config[ident.Model]{DailyProfile: true})
	day := observeMornings(p, "outlook", 3, 6)
	before := day.Add(8 * time.Hour)
	if got := p.Stage(before, nil); len(got) != 0 {
		t.Errorf("Stage without far weights = %v", got)
	}
	if got := p.Stage(day.Add(13*time.Hour), []ident.Model{"outlook"}); len(got) != 0 {
		t.Errorf("Stage after the usual hour = %v", got)
	}
	if got := p.Stage(before, []ident.Model{"outlook"}); !slices.Equal(got, []ident.Model{"outlook"}) {
		t.Errorf("Stage before the usual hour = %v", got)
	}
}

func TestStagingStopsWhenItNeverHelps(t *testing.T) {
	p := newTestPolicy(t, Config[ident.Model]{DailyProfile: true})
	day := observeMornings(p, "note", 3, 1)
	far, staged := []ident.Model{"note"}, 0
	for range 100 {
		staged += len(p.Stage(day.Add(8*time.Hour), far))
	}
	if got := p.Stage(day.Add(8*time.Hour), far); len(got) != 0 {
		t.Errorf("staged %d times without success and did not stop", staged)
	}
}

func TestKeepIsLongerWhereLoadsTakeLonger(t *testing.T) {
	keep := func(load time.Duration) time.Duration {
		p := newTestPolicy(t, Config[ident.Model]{})
		last := observeEvery(p, "m", 30, 10*time.Minute)
		for range 20 {
			p.ObserveLoad("m", load, last.Add(load))
		}
		return p.KeepUntil("m", last).Sub(last)
	}
	if short, long := keep(time.Second), keep(30*time.Second); short >= long {
		t.Errorf("kept for %v with loads of 1 s, %v with loads of 30 s", short, long)
	}
}

func TestPrewarmNeedsDayProfile(t *testing.T) {
	p := newTestPolicy(t, Config[ident.Model]{})
	day := observeMornings(p, "outlook", 3, 6)
	if _, ok := p.NextPrewarm(day); ok || p.Prewarm(day.Add(9*time.Hour)) != nil {
		t.Error("Prewarm returns keys without a day profile")
	}
}
