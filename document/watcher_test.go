package document

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/metastore/memstore"
)

// watching runs a watcher for a test and collects what it brings in force.
func watching(t *testing.T, s metastore.Store) (*Watcher, *[]Active) {
	var used []Active
	w := NewWatcher(WatcherOptions{Store: s, Environment: "e", Logger: quiet, OnChange: func(f Active) { used = append(used, f) }})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = w.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return w, &used
}

func TestWatcherKeepsTheLastUsableDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{})
		w, used := watching(t, s)
		r := newRepository(s, "x")
		first := mustApply(t, r, 1, 0)
		synctest.Wait()
		bad, err := s.Put(t.Context(), Key("e", StageProduction), []byte(`{"digest":"x","text":"e30="}`), first.Version)
		if err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		rejected, ok := w.Rejected()
		var digest *DigestError
		if !ok || rejected.Version != bad || !errors.As(rejected.Err, &digest) || w.InForce().Version != first.Version {
			t.Fatalf("got %+v, in force %d", rejected, w.InForce().Version)
		}
		if err := s.Delete(t.Context(), Key("e", StageProduction), bad); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if w.InForce().Version != first.Version || len(*used) != 1 {
			t.Fatalf("a deleted document left %d in force", w.InForce().Version)
		}
		if rejected, _ := w.Rejected(); rejected.Version != bad {
			t.Fatalf("a deletion was taken for a document: %+v", rejected)
		}
		again := mustApply(t, r, 2, 0)
		synctest.Wait()
		if _, ok := w.Rejected(); ok || w.InForce().Version != again.Version || w.InForce().Digest != again.Digest {
			t.Fatalf("got %+v", w.InForce())
		}
	})
}

func TestWatcherOutlivesSilenceAndOutage(t *testing.T) {
	for name, faults := range map[string]memstore.Faults{
		"silence": {SilentWatches: true},
		"outage":  {Outage: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := memstore.New(memstore.Options{})
				w, _ := watching(t, s)
				synctest.Wait()
				s.SetFaults(faults)
				if faults.Outage {
					time.Sleep(time.Hour)
					s.SetFaults(memstore.Faults{})
				}
				first := mustApply(t, newRepository(s, "x"), 1, 0)
				time.Sleep(DefaultRelist)
				if got := w.InForce().Version; got != first.Version {
					t.Fatalf("version %d in force, want %d", got, first.Version)
				}
			})
		})
	}
}

// TestWatcherNeverReverts changes a document under faults and checks that the
// versions in force only rise and end at the newest.
func TestWatcherNeverReverts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := rapid.SliceOfN(rapid.IntRange(0, 3), 1, 12).Draw(rt, "steps")
		var newest metastore.Version
		var used *[]Active
		synctest.Test(t, func(t *testing.T) {
			s := memstore.New(memstore.Options{Seed: seed})
			_, used = watching(t, s)
			r := newRepository(s, "x")
			for i, step := range steps {
				switch step {
				case 0:
					s.SetFaults(memstore.Faults{Outage: true})
				case 1:
					s.SetFaults(memstore.Faults{StaleMax: 6, DropResponses: 1})
				default:
					s.SetFaults(memstore.Faults{})
					newest = mustApply(t, r, i, newest).Version
				}
				time.Sleep(time.Duration(step) * 10 * time.Second)
			}
			s.SetFaults(memstore.Faults{})
			time.Sleep(2 * DefaultRelist)
		})
		last := metastore.Version(0)
		for _, f := range *used {
			if f.Version <= last {
				rt.Fatalf("version %d after %d", f.Version, last)
			}
			last = f.Version
		}
		if last != newest {
			rt.Fatalf("version %d in force, want %d", last, newest)
		}
	})
}

func TestWatcherReadsTheDocumentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{})
		a := mustApply(t, newRepository(s, "x"), 7, 0)
		w, used := watching(t, s)
		time.Sleep(10 * DefaultRelist)
		synctest.Wait()
		want, err := config.ReadDocument(text(7))
		if err != nil {
			t.Fatal(err)
		}
		if len(*used) != 1 || w.InForce().Version != a.Version || w.InForce().Document.Limits != want.Limits {
			t.Fatalf("got %+v", *used)
		}
	})
}
