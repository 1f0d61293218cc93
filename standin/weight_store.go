package standin

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"github.com/laureltally/laureltally/internal/wait"
)

// transferSteps is how many times the speed of a transfer is recomputed.
const transferSteps = 20

// WeightStore is a stand-in for the store from which weights are loaded. It responds
// without a body when the simulated transfer is done.
//
//	GET  /weights/{model}?mb=N      N MiB of weights
//	GET  /adapters/{adapter}?ms=N   an adapter that takes N ms at full speed
//	POST /control/faults            WeightStoreFaults
//	GET  /control/counters          -> WeightStoreCounters
type WeightStore struct {
	o       WeightStoreOptions
	starts  *rate.Limiter
	handler http.Handler

	mu       sync.Mutex
	loads    int
	adapters int
	faults   WeightStoreFaults
	counters WeightStoreCounters
}

// NewWeightStore returns a weight store without faults.
func NewWeightStore(o WeightStoreOptions) *WeightStore {
	if o.LoadsPerSecond == 0 {
		o.LoadsPerSecond = DefaultLoadsPerSecond
	}
	if o.ParallelLoads == 0 {
		o.ParallelLoads = DefaultParallelLoads
	}
	if o.ParallelAdapters == 0 {
		o.ParallelAdapters = DefaultParallelAdapters
	}
	s := &WeightStore{o: o, starts: rate.NewLimiter(rate.Limit(o.LoadsPerSecond), 1)}
	r := mux.NewRouter()
	r.PathPrefix("/weights/").HandlerFunc(s.serveWeights).Methods(http.MethodGet)
	r.PathPrefix("/adapters/").HandlerFunc(s.serveAdapter).Methods(http.MethodGet)
	r.HandleFunc("/control/faults", s.serveFaults).Methods(http.MethodPost)
	r.HandleFunc("/control/counters", s.serveCounters).Methods(http.MethodGet)
	s.handler = r
	return s
}

// ServeHTTP implements http.Handler.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// SetFaults replaces the injected faults.
func (s *WeightStore) SetFaults(f WeightStoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counters returns the counts since NewWeightStore.
func (s *WeightStore) Counters() WeightStoreCounters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

func (s *WeightStore) serveWeights(w http.ResponseWriter, r *http.Request) {
	mb, err := strconv.ParseFloat(r.URL.Query().Get("mb"), 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorBody{Error: err.Error()})
		return
	}
	if err := s.starts.Wait(r.Context()); err != nil {
		return
	}
	var work time.Duration
	if s.o.MBPerSecond > 0 {
		work = time.Duration(mb / s.o.MBPerSecond * float64(time.Second))
	}
	s.serveTransfer(w, r, work, &s.loads, s.o.ParallelLoads)
}

func (s *WeightStore) serveAdapter(w http.ResponseWriter, r *http.Request) {
	ms, err := strconv.ParseFloat(r.URL.Query().Get("ms"), 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorBody{Error: err.Error()})
		return
	}
	s.serveTransfer(w, r, time.Duration(ms*float64(time.Millisecond)), &s.adapters, s.o.ParallelAdapters)
}

func (s *WeightStore) serveTransfer(w http.ResponseWriter, r *http.Request, work time.Duration, inFlight *int, parallel int) {
	s.startTransfer(inFlight)
	defer s.endTransfer(inFlight)
	if s.outage() {
		writeJSON(w, http.StatusServiceUnavailable, errorBody{Error: "outage"})
		return
	}
	if err := s.transfer(r.Context(), work, inFlight, parallel); err != nil {
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *WeightStore) startTransfer(inFlight *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*inFlight++
	if inFlight == &s.loads {
		s.counters.Loads++
		s.counters.PeakLoads = max(s.counters.PeakLoads, s.loads)
		return
	}
	s.counters.Adapters++
	s.counters.PeakAdapters = max(s.counters.PeakAdapters, s.adapters)
}

func (s *WeightStore) endTransfer(inFlight *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*inFlight--
}

func (s *WeightStore) outage() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Outage
}

// transfer simulates a transfer that takes the time work at full speed, and longer
// if more than parallel transfers are in flight or the store is slowed down.
func (s *WeightStore) transfer(ctx context.Context, work time.Duration, inFlight *int, parallel int) error {
	for range transferSteps {
		s.mu.Lock()
		contention := max(1, float64(*inFlight)/float64(parallel))
		slowdown := max(1, s.faults.Slowdown)
		s.mu.Unlock()
		if err := wait.Sleep(ctx, time.Duration(float64(work)/transferSteps*contention*slowdown)); err != nil {
			return err
		}
	}
	return nil
}

func (s *WeightStore) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f WeightStoreFaults
	if readJSON(w, r, &f) {
		s.SetFaults(f)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (s *WeightStore) serveCounters(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Counters())
}
