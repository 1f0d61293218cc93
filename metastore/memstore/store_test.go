package memstore

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/laureltally/laureltally/metastore"
)

func put(t *testing.T, s *Store, key, value string, expect metastore.Version) metastore.Version {
	t.Helper()
	v, err := s.Put(t.Context(), key, []byte(value), expect)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func wantError[E error](t *testing.T, err error) E {
	t.Helper()
	var want E
	if !errors.As(err, &want) {
		t.Fatalf("got error %v, want %T", err, want)
	}
	return want
}

func TestConditionalWrites(t *testing.T) {
	s := New(Options{})
	v1 := put(t, s, "a", "1", 0)
	_, err := s.Put(t.Context(), "a", nil, 0)
	if c := wantError[*metastore.ConflictError](t, err); c.Actual != v1 {
		t.Fatalf("conflict reports version %d, want %d", c.Actual, v1)
	}
	v2 := put(t, s, "a", "2", v1)
	wantError[*metastore.ConflictError](t, s.Delete(t.Context(), "a", v1))
	if err := s.Delete(t.Context(), "a", v2); err != nil {
		t.Fatal(err)
	}
	_, err = s.Get(t.Context(), "a")
	wantError[*metastore.NotFoundError](t, err)
	_, err = s.Put(t.Context(), "a", make([]byte, metastore.MaxValueBytes+1), 0)
	wantError[*metastore.ValueSizeError](t, err)
	if v4 := put(t, s, "a", "3", 0); v4 <= v2+1 {
		t.Fatalf("version %d after a delete, want more than %d", v4, v2+1)
	}
}

func TestLostResponseWriteTakesEffect(t *testing.T) {
	s := New(Options{})
	s.SetFaults(Faults{DropResponses: 1})
	_, err := s.Put(t.Context(), "a", []byte("1"), 0)
	wantError[*metastore.UnavailableError](t, err)
	wantError[*LostResponseError](t, err)
	if o, err := s.Get(t.Context(), "a"); err != nil || string(o.Value) != "1" {
		t.Fatalf("got %v %v", o, err)
	}
	put(t, s, "a", "2", 1)
}

func TestLateWriteAppliedUnlessConditionFails(t *testing.T) {
	for _, overtaken := range []bool{false, true} {
		t.Run(fmt.Sprint(overtaken), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(Options{})
				s.SetFaults(Faults{LateWrites: 1, LateBy: time.Minute})
				_, err := s.Put(t.Context(), "a", []byte("late"), 0)
				wantError[*metastore.UnavailableError](t, err)
				_, err = s.Get(t.Context(), "a")
				wantError[*metastore.NotFoundError](t, err)
				want := "late"
				if overtaken {
					want = "first"
					put(t, s, "a", want, 0)
				}
				time.Sleep(time.Minute)
				synctest.Wait()
				if o, err := s.Get(t.Context(), "a"); err != nil || string(o.Value) != want {
					t.Fatalf("got %q %v, want %q", o.Value, err, want)
				}
			})
		})
	}
}

func TestStaleReads(t *testing.T) {
	s := New(Options{})
	v := put(t, s, "a", "1", 0)
	put(t, s, "a", "2", v)
	put(t, s, "b", "1", 0)
	tests := []struct {
		behind int
		a      string
		listed int
	}{{0, "2", 2}, {1, "2", 1}, {2, "1", 1}, {3, "", 0}, {9, "", 0}}
	for _, tt := range tests {
		s.SetFaults(Faults{StaleMin: tt.behind, StaleMax: tt.behind})
		o, err := s.Get(t.Context(), "a")
		if string(o.Value) != tt.a || (err != nil) != (tt.a == "") {
			t.Errorf("%d behind: got %q %v, want %q", tt.behind, o.Value, err, tt.a)
		}
		objects, at, err := s.List(t.Context(), "")
		if err != nil || len(objects) != tt.listed || at != metastore.Version(max(0, 3-tt.behind)) {
			t.Errorf("%d behind: listed %v at %d %v", tt.behind, objects, at, err)
		}
	}
}

func TestOutageFailsCallsAndWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		ended := make(chan error, 1)
		go func() { ended <- s.Watch(t.Context(), "", 0, func(metastore.Event) {}) }()
		synctest.Wait()
		if n := s.Counters().Watches; n != 1 {
			t.Fatalf("%d watches open, want 1", n)
		}
		s.SetFaults(Faults{Outage: true})
		wantError[*OutageError](t, <-ended)
		_, err := s.Get(t.Context(), "a")
		wantError[*OutageError](t, err)
		if c := s.Counters(); c.Watches != 0 || c.Refused != 1 {
			t.Fatalf("got %+v", c)
		}
	})
}

func TestRateLimitReturnsRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{WritesPerSecond: 2})
		put(t, s, "a", "", 0)
		put(t, s, "b", "", 0)
		_, err := s.Put(t.Context(), "c", nil, 0)
		wantError[*RateError](t, err)
		time.Sleep(wantError[*metastore.UnavailableError](t, err).RetryAfter)
		put(t, s, "c", "", 0)
	})
}

func TestDelayStopsOnContextTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		s.SetFaults(Faults{Delay: time.Hour})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := s.Put(ctx, "a", nil, 0)
		wantError[*metastore.UnavailableError](t, err)
		if s.Version() != 0 {
			t.Fatal("a cancelled write took effect")
		}
	})
}

func TestCompactedWatchFails(t *testing.T) {
	s := New(Options{History: 2})
	for v := range metastore.Version(4) {
		put(t, s, "a", "", v)
	}
	err := s.Watch(t.Context(), "", 0, func(metastore.Event) {})
	wantError[*metastore.CompactedError](t, err)
}

// TestWatchDeliversAllChanges applies the events of a watch to a listing, stale
// or not, from whose version the watch starts, and compares the result with the
// final state.
func TestWatchDeliversAllChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(Options{})
		versions := map[string]metastore.Version{}
		step := func() {
			key := rapid.SampledFrom([]string{"p/a", "p/b", "q"}).Draw(t, "key")
			if v := versions[key]; v != 0 && rapid.Bool().Draw(t, "delete") {
				if err := s.Delete(context.Background(), key, v); err != nil {
					t.Fatal(err)
				}
				versions[key] = 0
				return
			}
			v, err := s.Put(context.Background(), key, []byte{1}, versions[key])
			if err != nil {
				t.Fatal(err)
			}
			versions[key] = v
		}
		for range rapid.IntRange(0, 20).Draw(t, "before") {
			step()
		}
		behind := rapid.IntRange(0, 20).Draw(t, "behind")
		s.SetFaults(Faults{StaleMin: behind, StaleMax: behind})
		objects, since, err := s.List(context.Background(), "p/")
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(0, 20).Draw(t, "after") {
			step()
		}
		got := map[string]metastore.Version{}
		for _, o := range objects {
			got[o.Key] = o.Version
		}
		events, _, err := s.eventsSince("p/", since)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range events {
			got[e.Object.Key] = e.Object.Version
			if e.Deleted {
				delete(got, e.Object.Key)
			}
		}
		for _, key := range []string{"p/a", "p/b"} {
			if got[key] != versions[key] {
				t.Fatalf("%s is at %d, want %d", key, got[key], versions[key])
			}
		}
	})
}
