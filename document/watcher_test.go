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

// startWatcher runs a watcher for the duration of a test and collects the documents
// that it puts in force.
func startWatcher(t *testing.T, s metastore.Store) (*Watcher, *[]Active) {
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

func TestWatcherKeepsLastValidDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{})
		w, used := startWatcher(t, s)
		r := newRepository(s, "x")
		first := mustApply(t, r, 1, 0)
		synctest.Wait()
		invalid, err := s.Put(t.Context(), Key("e", StageProduction), []byte(`{"digest":"x","text":"e30="}`), first.Version)
		if err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		rejected, ok := w.Rejected()
		var digest *DigestError
		if !ok || rejected.Version != invalid || !errors.As(rejected.Err, &digest) || w.InForce().Version != first.Version {
			t.Fatalf("got %+v, in force %d", rejected, w.InForce().Version)
		}
		if err := s.Delete(t.Context(), Key("e", StageProduction), invalid); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if w.InForce().Version != first.Version || len(*used) != 1 {
			t.Fatalf("version %d in force after a deletion", w.InForce().Version)
		}
		if rejected, _ := w.Rejected(); rejected.Version != invalid {
			t.Fatalf("deletion changed the rejected version: %+v", rejected)
		}
		second := mustApply(t, r, 2, 0)
		synctest.Wait()
		if _, ok := w.Rejected(); ok || w.InForce().Version != second.Version || w.InForce().Digest != second.Digest {
			t.Fatalf("got %+v", w.InForce())
		}
	})
}

func TestWatcherRecoversFromSilenceAndOutage(t *testing.T) {
	for name, faults := range map[string]memstore.Faults{
		"silence": {SilentWatches: true},
		"outage":  {Outage: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := memstore.New(memstore.Options{})
				w, _ := startWatcher(t, s)
				synctest.Wait()
				s.SetFaults(faults)
				if faults.Outage {
					time.Sleep(time.Hour)
					s.SetFaults(memstore.Faults{})
				}
				first := mustApply(t, newRepository(s, "x"), 1, 0)
				time.Sleep(DefaultRelistInterval)
				if got := w.InForce().Version; got != first.Version {
					t.Fatalf("version %d in force, want %d", got, first.Version)
				}
			})
		})
	}
}

// TestWatcherNeverReverts changes a document under faults and checks that the
// versions in force only increase and end at the newest.
func TestWatcherNeverReverts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := rapid.SliceOfN(rapid.IntRange(0, 3), 1, 12).Draw(rt, "steps")
		var newest metastore.Version
		var used *[]Active
		synctest.Test(t, func(t *testing.T) {
			s := memstore.New(memstore.Options{Seed: seed})
			_, used = startWatcher(t, s)
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
			time.Sleep(2 * DefaultRelistInterval)
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

func TestWatcherUsesDocumentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{})
		a := mustApply(t, newRepository(s, "x"), 7, 0)
		w, used := startWatcher(t, s)
		time.Sleep(10 * DefaultRelistInterval)
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
