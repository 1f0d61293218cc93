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

// startInterval is longer than the store's minimum interval between two loads.
const startInterval = 50 * time.Millisecond

// Of six requests for permits of a store that serves two loads at full speed, two are
// granted at once and the others one by one as permits are released, the most urgent
// first.
func TestLoadLimiterKeepsLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoadLimiter(time.Now)
		if err := l.setLimits(config.WeightStore{LoadsPerSecond: 100, ParallelLoads: 2, ParallelAdapters: 1}); err != nil {
			t.Fatal(err)
		}
		granted := make(chan ident.Priority, 6)
		permits := make(chan *permit, 6)
		for i := range 6 {
			p := ident.Priority(5 - i)
			go func() {
				got, err := l.acquire(t.Context(), loadlimit.Request{VM: "v", Priority: p, MemoryMB: 1000})
				if err != nil {
					t.Error(err)
					return
				}
				granted <- p
				permits <- got
			}()
			time.Sleep(startInterval)
		}
		time.Sleep(time.Second)
		if len(granted) != 2 {
			t.Fatalf("%d permits granted, want 2", len(granted))
		}
		<-granted
		<-granted
		for want := range ident.Priority(4) {
			(<-permits).release()
			time.Sleep(time.Second)
			if got := <-granted; got != want {
				t.Errorf("priority %d was granted, want %d", got, want)
			}
		}
		(<-permits).release()
		(<-permits).release()
		time.Sleep(time.Minute)
	})
}

func TestLoadLimiterDropsCanceledRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoadLimiter(time.Now)
		if err := l.setLimits(config.WeightStore{LoadsPerSecond: 100, ParallelLoads: 1, ParallelAdapters: 1}); err != nil {
			t.Fatal(err)
		}
		first, err := l.acquire(t.Context(), loadlimit.Request{VM: "a", MemoryMB: 1000})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if _, err := l.acquire(ctx, loadlimit.Request{VM: "b", MemoryMB: 1000}); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("got %v", err)
		}
		first.release()
		second, err := l.acquire(t.Context(), loadlimit.Request{VM: "c", MemoryMB: 1000})
		if err != nil {
			t.Fatal(err)
		}
		second.release()
		time.Sleep(time.Minute)
	})
}

func TestLoadLimiterWithoutDocument(t *testing.T) {
	var refused *notGrantedError
	if _, err := newLoadLimiter(time.Now).acquire(t.Context(), loadlimit.Request{}); !errors.As(err, &refused) {
		t.Fatalf("got %v", err)
	}
}
