package originstore

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/metastore/memstore"
	"github.com/laureltally/laureltally/resume"
)

// faultyStore counts writes, and loses the responses of some or refuses them.
type faultyStore struct {
	metastore.Store
	mu sync.Mutex
	// down refuses all calls; lost is the number of writes that take effect without a
	// response.
	down   bool
	lost   int
	writes int
}

var errUnavailable = &metastore.UnavailableError{Op: "put", Err: errors.New("no response")}

func (s *faultyStore) Put(ctx context.Context, key string, value []byte, expect metastore.Version) (metastore.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.down {
		return 0, errUnavailable
	}
	v, err := s.Store.Put(ctx, key, value, expect)
	if s.lost > 0 {
		s.lost--
		return 0, errUnavailable
	}
	return v, err
}

func (s *faultyStore) Delete(ctx context.Context, key string, expect metastore.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	return s.Store.Delete(ctx, key, expect)
}

func (s *faultyStore) set(down bool, lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.lost = down, lost
}

// run starts a Writer within a synctest bubble, and returns what ends it.
func run(t *testing.T, s metastore.Store, name string) (w *Writer, stop func()) {
	w = NewWriter(Options{Store: s, Name: name, Now: time.Now, Failed: func(err error) { t.Log(err) }})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	return w, func() {
		cancel()
		<-done
	}
}

func load(t *testing.T, s metastore.Store) map[resume.StreamKey]string {
	t.Helper()
	streams, skipped, err := Load(t.Context(), s, time.Now())
	if err != nil || len(skipped) > 0 {
		t.Fatalf("load: %v, skipped %v", err, skipped)
	}
	return streams
}

// Rule LOST: guards against streams that are not in the store soon after they began, whatever
// becomes of the writes, and against a version that is not theirs.
func TestStreamsAreStoredSoon(t *testing.T) {
	for name, tc := range map[string]struct {
		lost int
		down time.Duration
	}{
		"no fault":       {},
		"responses lost": {lost: 3},
		"store away":     {down: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &faultyStore{Store: memstore.New(memstore.Options{})}
				s.set(tc.down > 0, tc.lost)
				w, stop := run(t, s, "a")
				defer stop()
				want := make(map[resume.StreamKey]string)
				for i := range 200 {
					key := resume.KeyOf("models", fmt.Sprint(i))
					want[key] = fmt.Sprint("v", i%3)
					w.Add(key, want[key])
					time.Sleep(20 * time.Millisecond)
					if tc.down > 0 && time.Duration(i)*20*time.Millisecond >= tc.down {
						s.set(false, 0)
					}
				}
				time.Sleep(2 * writeInterval)
				if got := load(t, s); !maps.Equal(got, want) {
					t.Errorf("%d streams are stored, want %d", len(got), len(want))
				}
			})
		})
	}
}

// Guards against writes that grow with the streams: the store takes a few hundred a second of
// all processes.
func TestWritesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &faultyStore{Store: memstore.New(memstore.Options{})}
		w, stop := run(t, s, "a")
		const seconds = 180
		for i := range seconds * 100 {
			w.Add(resume.KeyOf("models", fmt.Sprint(i)), "v1")
			time.Sleep(10 * time.Millisecond)
		}
		if most := seconds * 5; s.writes > most {
			t.Errorf("%d writes in %d s", s.writes, seconds)
		}
		objects, _, err := s.List(t.Context(), prefix)
		if most := int((retention+2*chunkAge)/chunkAge) + 1; err != nil || len(objects) > most {
			t.Errorf("%d chunks are kept, error %v", len(objects), err)
		}
		written := s.writes
		time.Sleep(retention + 10*time.Second)
		if objects, _, _ = s.List(t.Context(), prefix); len(objects) > 0 {
			t.Errorf("%d chunks are left without streams", len(objects))
		}
		if n := s.writes - written; n > len(objects)+int(retention/chunkAge)+3 {
			t.Errorf("%d writes without streams", n)
		}
		stop()
	})
}

// Guards against streams that a process takes with it that stops in order.
func TestStoppedWriterStoresWhatIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{})
		w, stop := run(t, s, "a")
		for i := range 3 {
			w.Add(resume.KeyOf("models", fmt.Sprint(i)), "v1")
			time.Sleep(time.Millisecond)
		}
		stop()
		if got := load(t, s); len(got) != 3 {
			t.Errorf("%d streams are stored", len(got))
		}
	})
}

// Guards against chunks of killed writers that stay for good, or go while streams may be
// resumed; and against one odd chunk that hides the others.
func TestChunksOfKilledWritersAreDeletedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, s := t.Context(), memstore.New(memstore.Options{})
		for name, value := range map[string]string{"odd": `"x"`, "cut": `{"written_ms":1,"begun":{"v1":"AAAA"}}`} {
			if _, err := s.Put(ctx, prefix+name, []byte(value), 0); err != nil {
				t.Fatal(err)
			}
		}
		w, stop := run(t, s, "killed")
		w.Add(resume.KeyOf("models", "one"), "v1")
		time.Sleep(time.Second)
		stop()
		next := func(name string) (chunks int) {
			w, stop := run(t, s, name)
			defer stop()
			w.Add(resume.KeyOf("models", name), "v2")
			time.Sleep(time.Second)
			objects, _, err := s.List(ctx, prefix)
			if err != nil {
				t.Fatal(err)
			}
			for _, o := range objects {
				if strings.Contains(o.Key, "killed") {
					chunks++
				}
			}
			return chunks
		}
		if next("soon") == 0 {
			t.Error("deleted while its streams may be resumed")
		}
		if streams, skipped, err := Load(ctx, s, time.Now()); streams[resume.KeyOf("models", "one")] != "v1" || len(skipped) != 2 || err != nil {
			t.Errorf("streams %v, skipped %v, error %v", streams, skipped, err)
		}
		time.Sleep(orphanAge)
		if next("late") > 0 {
			t.Error("kept for good")
		}
	})
}

// Guards against streams that run and are left out for older ones, where more are stored than are
// loaded.
func TestNewestStreamsAreLoaded(t *testing.T) {
	s, now := memstore.New(memstore.Options{}), time.Unix(1000, 0)
	const chunks, each = 4, maxLoaded / 2
	for i := range chunks {
		streams := make(map[resume.StreamKey]string, each)
		for n := range each {
			streams[resume.StreamKey(i*each+n)] = "v1"
		}
		value, err := encodeChunk(streams, now.Add(time.Duration(i)*time.Second))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Put(t.Context(), fmt.Sprint(prefix, i), value, 0); err != nil {
			t.Fatal(err)
		}
	}
	loaded, skipped, err := Load(t.Context(), s, now.Add(chunks*time.Second))
	if err != nil || len(skipped) > 0 || len(loaded) != 2*each {
		t.Fatalf("%d streams, skipped %v, error %v", len(loaded), skipped, err)
	}
	for key := range loaded {
		if key < 2*each {
			t.Fatalf("stream %d of %d is loaded", key, chunks*each)
		}
	}
}
