package findingstore

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore/memstore"
	"github.com/laureltally/laureltally/quarantine"
)

// After a loss of power a process has more crashes to tell of than the store should have to take.
func TestWriterBoundsWhatItStores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{})
		dropped := 0
		w := NewWriter(s, func(err error) {
			var full *FullError
			if !errors.As(err, &full) {
				t.Errorf("not stored: %v", err)
			}
			dropped++
		})
		begun := time.Now()
		for i := range 2 * maxQueued {
			w.Add(quarantine.News{Crashes: []quarantine.Crash{{
				Server: fleet.ServerStart{Address: "10.0.0.1:80", Started: int64(i)}, At: begun, Traits: []ident.Trait{ident.TraitOfRequest(1)},
			}}})
		}
		w.Add(quarantine.News{})
		ctx, cancel := context.WithTimeout(t.Context(), maxQueued*writeInterval+time.Millisecond)
		defer cancel()
		w.Run(ctx)
		crashes, skipped, err := LoadCrashes(t.Context(), s, time.Now())
		if err != nil || len(skipped) > 0 || len(crashes) != maxQueued || dropped != maxQueued {
			t.Errorf("%d stored, %d dropped, skipped %v, error %v", len(crashes), dropped, skipped, err)
		}
		if took := time.Since(begun); took < (maxQueued-1)*writeInterval {
			t.Errorf("all were stored within %v", took)
		}
	})
}
