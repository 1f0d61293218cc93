package standin

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/metastore"
)

func call(h http.Handler, method, target, body string) (w *httptest.ResponseRecorder) {
	w = httptest.NewRecorder()
	defer func() {
		if v := recover(); v == http.ErrAbortHandler {
			w.Code = 0
		} else if v != nil {
			panic(v)
		}
	}()
	h.ServeHTTP(w, httptest.NewRequest(method, target, strings.NewReader(body)))
	return w
}

func TestWeightStoreBandwidthIsShared(t *testing.T) {
	tests := []struct {
		loads    int
		slowdown float64
		want     time.Duration
	}{{1, 0, 10 * time.Second}, {4, 0, 10 * time.Second}, {8, 0, 20 * time.Second}, {1, 3, 30 * time.Second}}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			s := NewWeightStore(WeightStoreOptions{LoadsPerSecond: 1e9, MBPerSecond: 10})
			s.SetFaults(WeightStoreFaults{Slowdown: tt.slowdown})
			start := time.Now()
			var all sync.WaitGroup
			for range tt.loads {
				all.Go(func() {
					if w := call(s, http.MethodGet, "/weights/m?mb=100", ""); w.Code != http.StatusOK {
						t.Errorf("status %d", w.Code)
					}
				})
			}
			all.Wait()
			if got := time.Since(start).Round(time.Millisecond); got != tt.want || s.Counters().PeakLoads != tt.loads {
				t.Errorf("%d loads took %v, want %v", tt.loads, got, tt.want)
			}
		})
	}
}

func TestWeightStoreLimitsStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewWeightStore(WeightStoreOptions{LoadsPerSecond: 5})
		start := time.Now()
		for range 11 {
			call(s, http.MethodGet, "/weights/m?mb=1", "")
		}
		if got := time.Since(start); got != 2*time.Second {
			t.Fatalf("11 loads took %v, want 2s", got)
		}
	})
}

func TestService(t *testing.T) {
	tests := []struct {
		name   string
		faults ServiceFaults
		status int
		runs   int
	}{
		{"healthy", ServiceFaults{}, http.StatusCreated, 1},
		{"fails before", ServiceFaults{FailBefore: 1}, http.StatusServiceUnavailable, 0},
		{"fails after", ServiceFaults{FailAfter: 1}, http.StatusInternalServerError, 1},
		{"cut", ServiceFaults{DropConnections: 1}, 0, 1},
		{"slow", ServiceFaults{Delay: config.Duration(time.Hour)}, http.StatusCreated, 1},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			s := NewService()
			s.SetFaults(tt.faults)
			w := call(s, http.MethodPost, "/orders", `{"id":"o1"}`)
			if w.Code != tt.status || s.Runs()["o1"] != tt.runs {
				t.Errorf("%s: status %d, runs %v", tt.name, w.Code, s.Runs())
			}
		})
	}
	if w := call(NewService(), http.MethodGet, "/archive/a%20b", ""); !strings.Contains(w.Body.String(), `"id":"a b"`) {
		t.Errorf("got %s", w.Body)
	}
	if w := call(NewService(), http.MethodPatch, "/echo/x?q=1", "body"); !strings.Contains(w.Body.String(), `"method":"PATCH","path":"/echo/x","query":"q=1"`) {
		t.Errorf("got %s", w.Body)
	}
}

func TestVMListChangesAreDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewVMList(time.Second)
		l.Apply(VMChange{Put: &metastore.VM{ID: "b"}})
		l.Apply(VMChange{Put: &metastore.VM{ID: "a"}})
		time.Sleep(500 * time.Millisecond)
		l.Apply(VMChange{Put: &metastore.VM{ID: "a", Leaving: true}})
		l.Apply(VMChange{Remove: "b"})
		want := []string{"", "a b", "a(leaving)"}
		for i, wait := range []time.Duration{0, 500 * time.Millisecond, 500 * time.Millisecond} {
			time.Sleep(wait)
			vms, err := l.ListVMs(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			var seen []string
			for _, vm := range vms {
				name := string(vm.ID)
				if vm.Leaving {
					name += "(leaving)"
				}
				seen = append(seen, name)
			}
			if got := strings.Join(seen, " "); got != want[i] {
				t.Errorf("step %d: got %q, want %q", i, got, want[i])
			}
		}
	})
}
