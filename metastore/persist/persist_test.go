package persist

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/metastore/memstore"
)

func TestPut(t *testing.T) {
	tests := []struct {
		name   string
		faults memstore.Faults
	}{
		{"healthy", memstore.Faults{}},
		{"lost response", memstore.Faults{DropResponses: 1}},
		{"late write", memstore.Faults{LateWrites: 2, LateBy: time.Second}},
		{"lost response and stale reads", memstore.Faults{DropResponses: 1, StaleMax: 3}},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			s := memstore.New(memstore.Options{})
			first, err := Put(t.Context(), s, "a", []byte("1"), 0)
			if err != nil {
				t.Fatal(err)
			}
			s.SetFaults(tt.faults)
			v, err := Put(t.Context(), s, "a", []byte("2"), first)
			if err != nil || v != first+1 {
				t.Errorf("%s: got %d %v", tt.name, v, err)
			}
			var conflict *metastore.ConflictError
			if _, err = Put(t.Context(), s, "a", []byte("3"), first); !errors.As(err, &conflict) {
				t.Errorf("%s: got %v", tt.name, err)
			}
		})
	}
}

func TestPutStopsOnContextTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{})
		s.SetFaults(memstore.Faults{Outage: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if _, err := Put(ctx, s, "a", nil, 0); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("got %v", err)
		}
	})
}

func TestRetryHonorsRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{WritesPerSecond: 0.01})
		for i, key := range []string{"a", "b", "c"} {
			if _, err := Put(t.Context(), s, key, nil, 0); err != nil {
				t.Fatal(err)
			}
			if c := s.Counters(); c.Refused != int64(i) {
				t.Fatalf("%d calls were refused for %d writes", c.Refused, i+1)
			}
		}
	})
}
