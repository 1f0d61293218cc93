package router

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// callerRoutes returns the handler of the API for callers.
func (s *Server) callerRoutes() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/v1/chat/completions", s.handleModel).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", s.handleModel).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", s.handleModels).Methods(http.MethodGet)
	r.PathPrefix("/services/{environment}/{service}").HandlerFunc(s.handleService)
	r.HandleFunc("/healthz", s.handleHealth).Methods(http.MethodGet)
	r.HandleFunc("/readyz", s.handleReady).Methods(http.MethodGet)
	r.NotFoundHandler = http.HandlerFunc(s.handleNotFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(s.handleMethod)
	return withRequestID(withBodyBudget(s.bodies, r))
}

func (s *Server) handleNotFound(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, r, notRun(wire.CodeUnknownService, "there is nothing at %s", r.URL.Path))
}

func (s *Server) handleMethod(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, r, notRun(wire.CodeMalformed, "the method %s is not served at %s", r.Method, r.URL.Path))
}

// handleHealth serves the liveness probe.
func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// handleReady serves the readiness probe of the load balancer.
func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if s.draining.Load() || !s.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ready reports whether the configuration of any environment is loaded.
func (s *Server) ready() bool {
	for _, env := range s.environments {
		if env.catalog.Load() != nil {
			return true
		}
	}
	return false
}

// refuse responds to a request that was not dispatched.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, f *Failure) {
	s.count(f)
	s.o.Logger.WithField("request", requestID(r)).
		WithField("code", f.Code).
		WithField("run", f.Run).
		Info("request refused")
	f.write(w)
}

func (s *Server) count(f *Failure) {
	s.o.Metrics.Tagged(map[string]string{"code": string(f.Code), "run": string(f.Run)}).Counter("refused").Inc(1)
}

// EnvironmentReady reports whether every model and service of an environment has a
// reachable upstream.
func (s *Server) EnvironmentReady(name ident.Environment) bool {
	env := s.environments[name]
	if env == nil {
		return false
	}
	c := env.catalog.Load()
	return c != nil && s.fleet.covers(c.Document())
}
