package objecthttp_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/laureltally/laureltally/internal/httpclient"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/metastore/memstore"
	"github.com/laureltally/laureltally/metastore/objecthttp"
	"github.com/laureltally/laureltally/standin"
)

// newPair returns a store and a client that calls it over HTTP.
func newPair(t *testing.T, o memstore.Options, watchTimeout time.Duration) (*memstore.Store, *objecthttp.Client) {
	t.Helper()
	store := memstore.New(o)
	vms := standin.NewVMList(0)
	vms.Apply(standin.VMChange{Put: &metastore.VM{ID: "vm-1", Region: "trøndelag"}})
	server := httptest.NewServer(standin.NewObjectAPI(standin.ObjectAPIOptions{Store: store, VMs: vms, Heartbeat: 10 * time.Millisecond}))
	t.Cleanup(server.Close)
	c, err := objecthttp.New(objecthttp.Options{BaseURL: server.URL, WatchTimeout: watchTimeout, MaxListBytes: 1 << 10})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return store, c
}

func wantError[E error](t *testing.T, err error) E {
	t.Helper()
	var want E
	if !errors.As(err, &want) {
		t.Fatalf("got error %v, want %T", err, want)
	}
	return want
}

func TestObjects(t *testing.T) {
	_, c := newPair(t, memstore.Options{}, 0)
	const key = "config/trøndelag/a b%2F?#c"
	v1, err := c.Put(t.Context(), key, []byte{0, 255}, 0)
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.Put(t.Context(), key, nil, 0)
	if got := wantError[*metastore.ConflictError](t, err); *got != (metastore.ConflictError{Key: key, Actual: v1}) {
		t.Fatalf("got %+v", got)
	}
	v2, err := c.Put(t.Context(), key, []byte("2"), v1)
	if err != nil {
		t.Fatal(err)
	}
	o, err := c.Get(t.Context(), key)
	if err != nil || o.Version != v2 || string(o.Value) != "2" {
		t.Fatalf("got %+v %v", o, err)
	}
	wantError[*metastore.ConflictError](t, c.Delete(t.Context(), key, v1))
	objects, at, err := c.List(t.Context(), "config/")
	if err != nil || at != v2 || len(objects) != 1 || objects[0].Key != key {
		t.Fatalf("got %v at %d %v", objects, at, err)
	}
	if err := c.Delete(t.Context(), key, v2); err != nil {
		t.Fatal(err)
	}
	_, err = c.Get(t.Context(), key)
	wantError[*metastore.NotFoundError](t, err)
	_, err = c.Put(t.Context(), "big", make([]byte, metastore.MaxValueBytes+1), 0)
	wantError[*metastore.ValueSizeError](t, err)
}

func TestUnavailableReturnsRetryAfter(t *testing.T) {
	_, c := newPair(t, memstore.Options{WritesPerSecond: 0.01}, 0)
	if _, err := c.Put(t.Context(), "a", nil, 0); err != nil {
		t.Fatal(err)
	}
	_, err := c.Put(t.Context(), "b", nil, 0)
	if u := wantError[*metastore.UnavailableError](t, err); u.RetryAfter < time.Minute {
		t.Fatalf("retry after %v, want about 100s", u.RetryAfter)
	}
}

func TestLostResponseIsNotRetried(t *testing.T) {
	store, c := newPair(t, memstore.Options{}, 0)
	store.SetFaults(memstore.Faults{DropResponses: 1})
	_, err := c.Put(t.Context(), "a", nil, 0)
	wantError[*metastore.UnavailableError](t, err)
	if n := store.Counters().Writes; n != 1 {
		t.Fatalf("%d writes, want 1", n)
	}
}

func TestResponseSizeLimit(t *testing.T) {
	_, c := newPair(t, memstore.Options{}, 0)
	if _, err := c.Put(t.Context(), "a", make([]byte, 2<<10), 0); err != nil {
		t.Fatal(err)
	}
	_, _, err := c.List(t.Context(), "")
	wantError[*httpclient.BodySizeError](t, err)
}

func TestListVMs(t *testing.T) {
	store, c := newPair(t, memstore.Options{}, 0)
	vms, err := c.ListVMs(t.Context())
	if err != nil || len(vms) != 1 || vms[0].Region != "trøndelag" {
		t.Fatalf("got %v %v", vms, err)
	}
	store.SetFaults(memstore.Faults{Outage: true})
	_, err = c.ListVMs(t.Context())
	wantError[*metastore.UnavailableError](t, err)
}

func TestWatchDeliversUntilContextEnds(t *testing.T) {
	store, c := newPair(t, memstore.Options{}, 0)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	events := make(chan metastore.Event, 4)
	ended := make(chan error, 1)
	go func() { ended <- c.Watch(ctx, "p/", 0, func(e metastore.Event) { events <- e }) }()
	for _, key := range []string{"p/a", "q", "p/b"} {
		if _, err := store.Put(t.Context(), key, []byte(key), 0); err != nil {
			t.Fatal(err)
		}
	}
	if err := store.Delete(t.Context(), "p/a", 1); err != nil {
		t.Fatal(err)
	}
	a, b, deleted := <-events, <-events, <-events
	if a.Object.Key != "p/a" || string(b.Object.Value) != "p/b" || !deleted.Deleted || deleted.Object.Version != 4 {
		t.Fatalf("got %+v %+v %+v", a, b, deleted)
	}
	cancel()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v, want canceled", err)
	}
}

func TestWatchTimeoutAndOutage(t *testing.T) {
	tests := []struct {
		name         string
		faults       memstore.Faults
		watchTimeout time.Duration
		check        func(*testing.T, error)
	}{
		{"silence", memstore.Faults{SilentWatches: true}, 100 * time.Millisecond, func(t *testing.T, err error) {
			wantError[*objecthttp.WatchTimeoutError](t, err)
		}},
		{"outage", memstore.Faults{Outage: true}, time.Hour, func(t *testing.T, err error) {
			var watchTimeout *objecthttp.WatchTimeoutError
			if wantError[*metastore.UnavailableError](t, err); errors.As(err, &watchTimeout) {
				t.Fatal("an outage was reported as a watch timeout")
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store, c := newPair(t, memstore.Options{}, tt.watchTimeout)
			store.SetFaults(tt.faults)
			tt.check(t, c.Watch(t.Context(), "", 0, func(metastore.Event) {}))
		})
	}
}

func TestResponseWithoutProblemIsUnavailable(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "7")
		w.WriteHeader(http.StatusBadGateway)
	}))
	t.Cleanup(server.Close)
	c, err := objecthttp.New(objecthttp.Options{BaseURL: server.URL})
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.Get(t.Context(), "a")
	if u := wantError[*metastore.UnavailableError](t, err); u.RetryAfter != 7*time.Second {
		t.Fatalf("retry after %v", u.RetryAfter)
	}
	wantError[*objecthttp.StatusError](t, err)
	_, err = objecthttp.New(objecthttp.Options{BaseURL: "10.0.0.1:7000"})
	wantError[*objecthttp.URLError](t, err)
}
