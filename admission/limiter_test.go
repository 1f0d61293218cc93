package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func newLimiter(t *testing.T, maxKeys int) *Limiter {
	t.Helper()
	l, err := NewLimiter(LimiterOptions{MaxKeys: maxKeys}, rand.New(rand.NewPCG(1, 2)))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func TestLimiterTellsWhenToComeBack(t *testing.T) {
	l := newLimiter(t, 0)
	k, want := LimitKey{Environment: "e"}, Rate{PerSecond: 10, Burst: 3}
	for i := range 3 {
		if _, ok := l.Allow(start, k, want); !ok {
			t.Fatalf("request %d of the burst refused", i)
		}
	}
	after, ok := l.Allow(start, k, want)
	if ok || after < 100*time.Millisecond {
		t.Fatalf("Allow = %v, %v, want a wait of 100 ms at least", after, ok)
	}
	if _, ok := l.Allow(start.Add(after), k, want); !ok {
		t.Error("refused although it came back when it was told")
	}
}

func TestLimiterTakesFromAllOrNone(t *testing.T) {
	l := newLimiter(t, 0)
	keys := []LimitKey{{Environment: "e"}, {Environment: "e", Caller: "c"}}
	rates := []Rate{{PerSecond: 1, Burst: 5}, {PerSecond: 1, Burst: 1}}
	if _, ok := l.AllowAll(start, keys, rates); !ok {
		t.Fatal("first request refused")
	}
	for range 10 {
		if _, ok := l.AllowAll(start, keys, rates); ok {
			t.Fatal("caller over its burst")
		}
	}
	for i := range 4 {
		if _, ok := l.Allow(start, keys[0], rates[0]); !ok {
			t.Fatalf("token %d of the environment was taken for a refused request", i)
		}
	}
}

func TestLimiterIsBounded(t *testing.T) {
	l := newLimiter(t, 8)
	for i := range 100 {
		l.Allow(start, LimitKey{Caller: fmt.Sprint(i)}, Rate{PerSecond: 1, Burst: 1})
	}
	if len(l.buckets) > 8 {
		t.Errorf("%d buckets, want 8 at most", len(l.buckets))
	}
}

func TestScheduleSpreadsReturns(t *testing.T) {
	s := schedule{least: time.Second, most: time.Minute, rand: rand.New(rand.NewPCG(1, 2))}
	perSecond := make(map[time.Duration]int)
	for range 200 {
		perSecond[s.take(start, 0, 10)/time.Second]++
	}
	for at, n := range perSecond {
		if at < 1 || n > 20 {
			t.Errorf("%d callers return in second %d, want 20 at most and none before 1", n, at)
		}
	}
}
