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

// Service is a fake plain service. Posts carry an "id", under which their runs
// are counted.
//
//	GET  /archive/{id}     -> Entry, idempotent
//	POST /orders           -> Receipt, 201
//	POST /reservations     -> Receipt, 201
//	any  /echo/...         -> Echo
//	GET  /admin/load       -> engine.LoadReport
//	POST /control/faults   ServiceFaults
//	GET  /control/runs     -> how often each id ran
type Service struct {
	handler http.Handler

	mu      sync.Mutex
	running int
	number  int
	runs    map[string]int
	faults  ServiceFaults
}

// NewService returns the handler.
func NewService() *Service {
	s := &Service{runs: make(map[string]int)}
	r := mux.NewRouter()
	r.HandleFunc("/archive/{id}", s.called(s.serveArchive)).Methods(http.MethodGet)
	r.HandleFunc("/orders", s.called(s.servePost)).Methods(http.MethodPost)
	r.HandleFunc("/reservations", s.called(s.servePost)).Methods(http.MethodPost)
	r.PathPrefix("/echo/").HandlerFunc(s.called(s.serveEcho))
	r.HandleFunc("/admin/load", s.serveLoad).Methods(http.MethodGet)
	r.HandleFunc("/control/faults", s.serveFaults).Methods(http.MethodPost)
	r.HandleFunc("/control/runs", s.serveRuns).Methods(http.MethodGet)
	s.handler = r
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// SetFaults replaces the switches.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns how often each id ran.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// called counts a call, delays it and fails it before it runs if asked to.
func (s *Service) called(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		delay, fail := s.enter()
		defer s.leave()
		if wait.Sleep(r.Context(), delay) != nil {
			return
		}
		if fail {
			respond(w, http.StatusServiceUnavailable, failure{Error: "injected failure"})
			return
		}
		next(w, r)
	}
}

func (s *Service) enter() (delay time.Duration, fail bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	fail = take(&s.faults.FailBefore)
	return time.Duration(s.faults.Delay), fail
}

func (s *Service) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// take takes one off a number of faults that are still to come.
func take(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func (s *Service) serveArchive(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	s.count(id)
	respond(w, http.StatusOK, Entry{ID: id, Text: fmt.Sprintf("archive entry %s", id)})
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
		respond(w, http.StatusBadRequest, failure{Error: err.Error()})
		return
	}
	number, fail, cut := s.count(body.ID)
	switch {
	case cut:
		panic(http.ErrAbortHandler)
	case fail:
		respond(w, http.StatusInternalServerError, failure{Error: "injected failure"})
	default:
		respond(w, http.StatusCreated, Receipt{ID: body.ID, Number: number, Body: raw})
	}
}

// count notes a run and tells which fault comes after it.
func (s *Service) count(id string) (number int, fail, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	s.number++
	return s.number, take(&s.faults.FailAfter), take(&s.faults.DropConnections)
}

func (s *Service) serveEcho(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		respond(w, http.StatusBadRequest, failure{Error: err.Error()})
		return
	}
	respond(w, http.StatusOK, Echo{Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Header: r.Header, Body: body})
}

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	respond(w, http.StatusOK, engine.LoadReport{AsOf: time.Now(), Running: s.running})
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f ServiceFaults
	if receive(w, r, &f) {
		s.SetFaults(f)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (s *Service) serveRuns(w http.ResponseWriter, _ *http.Request) {
	respond(w, http.StatusOK, s.Runs())
}
