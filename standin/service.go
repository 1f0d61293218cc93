package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/internal/wait"
)

// Service is a stand-in for a plain service. The bodies of POST requests have an
// "id", by which their runs are counted.
//
//	GET  /archive/{id}     -> Entry, idempotent
//	POST /orders           -> Receipt, 201
//	POST /reservations     -> Receipt, 201
//	any  /echo/...         -> Echo
//	GET  /admin/load       -> engine.LoadReport
//	POST /control/faults   ServiceFaults
//	GET  /control/runs     -> number of runs of each id
type Service struct {
	handler http.Handler

	mu      sync.Mutex
	running int
	number  int
	runs    map[string]int
	faults  ServiceFaults
}

// NewService returns a service without faults.
func NewService() *Service {
	s := &Service{runs: make(map[string]int)}
	r := mux.NewRouter()
	r.HandleFunc("/archive/{id}", s.withFaults(s.serveArchive)).Methods(http.MethodGet)
	r.HandleFunc("/orders", s.withFaults(s.servePost)).Methods(http.MethodPost)
	r.HandleFunc("/reservations", s.withFaults(s.servePost)).Methods(http.MethodPost)
	r.PathPrefix("/echo/").HandlerFunc(s.withFaults(s.serveEcho))
	r.HandleFunc("/admin/load", s.serveLoad).Methods(http.MethodGet)
	r.HandleFunc("/control/faults", s.serveFaults).Methods(http.MethodPost)
	r.HandleFunc("/control/runs", s.serveRuns).Methods(http.MethodGet)
	s.handler = r
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns the number of runs of each id.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// withFaults counts the running calls of next, and injects the delays and the
// failures that come before a run.
func (s *Service) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		delay, fail := s.startCall()
		defer s.endCall()
		if wait.Sleep(r.Context(), delay) != nil {
			return
		}
		if fail {
			writeJSON(w, http.StatusServiceUnavailable, errorBody{Error: "injected failure"})
			return
		}
		next(w, r)
	}
}

func (s *Service) startCall() (delay time.Duration, fail bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	fail = consume(&s.faults.FailBefore)
	return time.Duration(s.faults.Delay), fail
}

func (s *Service) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// consume reports whether a fault remains to be injected, and counts it down.
func consume(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func (s *Service) serveArchive(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	s.countRun(id)
	writeJSON(w, http.StatusOK, Entry{ID: id, Text: fmt.Sprintf("archive entry %s", id)})
}

func (s *Service) servePost(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ID string `json:"id"`
	}
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(raw, &body)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorBody{Error: err.Error()})
		return
	}
	number, fail, drop := s.countRun(body.ID)
	switch {
	case drop:
		panic(http.ErrAbortHandler)
	case fail:
		writeJSON(w, http.StatusInternalServerError, errorBody{Error: "injected failure"})
	default:
		writeJSON(w, http.StatusCreated, Receipt{ID: body.ID, Number: number, Body: raw})
	}
}

// countRun counts a run and returns its number and the faults to inject after it.
func (s *Service) countRun(id string) (number int, fail, drop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	s.number++
	return s.number, consume(&s.faults.FailAfter), consume(&s.faults.DropConnections)
}

func (s *Service) serveEcho(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorBody{Error: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, Echo{Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Header: r.Header, Body: body})
}

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, engine.LoadReport{AsOf: time.Now(), Running: s.running})
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f ServiceFaults
	if readJSON(w, r, &f) {
		s.SetFaults(f)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (s *Service) serveRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Runs())
}
