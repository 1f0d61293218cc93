package router

import (
	"fmt"
	"net"
	"net/http"

	"github.com/gorilla/mux"
)

// serveAdmin starts the server for health, status and metrics.
func (s *Server) serveAdmin() (*http.Server, error) {
	ln, err := net.Listen("tcp", s.o.Settings.AdminListen)
	if err != nil {
		return nil, fmt.Errorf("listen on admin address: %w", err)
	}
	r := mux.NewRouter()
	r.HandleFunc("/healthz", s.handleHealth)
	r.HandleFunc("/readyz", s.handleReady)
	r.HandleFunc("/admin/status", s.handleStatus)
	if s.o.MetricsHandler != nil {
		r.Handle("/metrics", s.o.MetricsHandler)
	}
	server := s.httpServer(r)
	go func() { _ = server.Serve(ln) }()
	return server, nil
}
