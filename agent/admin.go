package agent

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
)

// readHeaderTimeout bounds how long a client of the admin address may take to
// send its headers.
const readHeaderTimeout = 5 * time.Second

// serveAdmin serves health and metrics, if an admin address is configured. The
// returned function stops it.
func (a *Agent) serveAdmin() (func(), error) {
	if a.o.Settings.AdminListen == "" {
		return func() {}, nil
	}
	ln, err := net.Listen("tcp", a.o.Settings.AdminListen)
	if err != nil {
		return nil, fmt.Errorf("listen on admin address: %w", err)
	}
	r := mux.NewRouter()
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/readyz", a.handleReady)
	if a.o.MetricsHandler != nil {
		r.Handle("/metrics", a.o.MetricsHandler)
	}
	server := &http.Server{Handler: r, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(ln) }()
	return func() { _ = server.Close() }, nil
}

// handleReady reports whether the agent accepts requests.
func (a *Agent) handleReady(w http.ResponseWriter, _ *http.Request) {
	if a.draining.Load() || a.catalog.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
