package agent

import (
	"fmt"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/laureltally/laureltally/internal/boundedhttp"
)

// serveAdmin serves health and metrics, if an admin address is configured. The
// returned function stops it.
func (a *Agent) serveAdmin() (func(), error) {
	if a.o.Settings.AdminListen == "" {
		return func() {}, nil
	}
	ln, err := a.listenAdmin()
	if err != nil {
		return nil, err
	}
	server := ln.Server(a.adminRoutes())
	go func() { _ = server.Serve(ln) }()
	return func() { _ = server.Close() }, nil
}

func (a *Agent) listenAdmin() (*boundedhttp.Listener, error) {
	ln, err := boundedhttp.Listen("tcp", a.o.Settings.AdminListen, boundedhttp.Small())
	if err != nil {
		return nil, fmt.Errorf("listen on admin address: %w", err)
	}
	return ln, nil
}

// adminRoutes returns the handler of the admin address.
func (a *Agent) adminRoutes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/readyz", a.handleReady)
	if a.o.MetricsHandler != nil {
		r.Handle("/metrics", a.o.MetricsHandler)
	}
	return r
}

// handleReady reports whether the agent accepts requests.
func (a *Agent) handleReady(w http.ResponseWriter, _ *http.Request) {
	if a.draining.Load() || a.catalog.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
