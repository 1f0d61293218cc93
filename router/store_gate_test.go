package router

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/loadlimit"
)

// startInterval is longer than the store's least interval between two loads.
const startInterval = 50 * time.Millisecond

// TestStoreGateKeepsTheLimits asks for six places of a store that serves two
// loads at full speed. Two are granted at once, the others one by one as places
// are given back, the most urgent first.
func TestStoreGateKeepsTheLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newStoreGate(time.Now)
		if err := g.setLimits(config.WeightStore{LoadsPerSecond: 100, ParallelLoads: 2, ParallelAdapters: 1}); err != nil {
			t.Fatal(err)
		}
		granted := make(chan ident.Priority, 6)
		places := make(chan *place, 6)
		for i := range 6 {
			p := ident.Priority(5 - i)
			go func() {
				got, err := g.acquire(t.Context(), loadlimit.Request{VM: "v", Priority: p, MemoryMB: 1000})
				if err != nil {
					t.Error(err)
					return
				}
				granted <- p
				places <- got
			}()
			time.Sleep(startInterval)
		}
		time.Sleep(time.Second)
		if len(granted) != 2 {
			t.Fatalf("%d places granted, want 2", len(granted))
		}
		<-granted
		<-granted
		for want := range ident.Priority(4) {
			(<-places).done()
			time.Sleep(time.Second)
			if got := <-granted; got != want {
				t.Errorf("priority %d was granted, want %d", got, want)
			}
		}
		(<-places).done()
		(<-places).done()
		time.Sleep(time.Minute)
	})
}

func TestStoreGateForgetsWhoIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newStoreGate(time.Now)
		if err := g.setLimits(config.WeightStore{LoadsPerSecond: 100, ParallelLoads: 1, ParallelAdapters: 1}); err != nil {
			t.Fatal(err)
		}
		first, err := g.acquire(t.Context(), loadlimit.Request{VM: "a", MemoryMB: 1000})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if _, err := g.acquire(ctx, loadlimit.Request{VM: "b", MemoryMB: 1000}); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("got %v", err)
		}
		first.done()
		second, err := g.acquire(t.Context(), loadlimit.Request{VM: "c", MemoryMB: 1000})
		if err != nil {
			t.Fatal(err)
		}
		second.done()
		time.Sleep(time.Minute)
	})
}

func TestStoreGateWithoutADocument(t *testing.T) {
	var refused *verdictError
	if _, err := newStoreGate(time.Now).acquire(t.Context(), loadlimit.Request{}); !errors.As(err, &refused) {
		t.Fatalf("got %v", err)
	}
}
