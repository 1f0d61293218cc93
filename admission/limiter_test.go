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

func TestAllowReturnsRetryAfter(t *testing.T) {
	l := newLimiter(t, 0)
	k, want := LimitKey{Environment: "e"}, Rate{PerSecond: 10, Burst: 3}
	for i := range 3 {
		if _, ok := l.Allow(start, k, want); !ok {
			t.Fatalf("request %d of the burst refused", i)
		}
	}
	after, ok := l.Allow(start, k, want)
	if ok || after < 100*time.Millisecond {
		t.Fatalf("Allow = %v, %v, want a wait of at least 100 ms", after, ok)
	}
	if _, ok := l.Allow(start.Add(after), k, want); !ok {
		t.Error("refused after the returned wait")
	}
}

func TestAllowAllTakesFromAllBucketsOrNone(t *testing.T) {
	l := newLimiter(t, 0)
	keys := []LimitKey{{Environment: "e"}, {Environment: "e", Caller: "c"}}
	rates := []Rate{{PerSecond: 1, Burst: 5}, {PerSecond: 1, Burst: 1}}
	if _, ok := l.AllowAll(start, keys, rates); !ok {
		t.Fatal("first request refused")
	}
	for range 10 {
		if _, ok := l.AllowAll(start, keys, rates); ok {
			t.Fatal("admitted a request over the caller's burst")
		}
	}
	for i := range 4 {
		if _, ok := l.Allow(start, keys[0], rates[0]); !ok {
			t.Fatalf("a refused request took token %d of the environment", i)
		}
	}
}

func TestLimiterBoundsBuckets(t *testing.T) {
	l := newLimiter(t, 8)
	for i := range 100 {
		l.Allow(start, LimitKey{Caller: fmt.Sprint(i)}, Rate{PerSecond: 1, Burst: 1})
	}
	if len(l.buckets) > 8 {
		t.Errorf("%d buckets, want at most 8", len(l.buckets))
	}
}

func TestRetryScheduleSpreadsRetries(t *testing.T) {
	s := retrySchedule{minDelay: time.Second, maxDelay: time.Minute, rand: rand.New(rand.NewPCG(1, 2))}
	perSecond := make(map[time.Duration]int)
	for range 200 {
		perSecond[s.reserve(start, 0, 10)/time.Second]++
	}
	for at, n := range perSecond {
		if at < 1 || n > 20 {
			t.Errorf("%d callers retry in second %d, want at most 20 and none before second 1", n, at)
		}
	}
}
