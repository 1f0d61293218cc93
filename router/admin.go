package router

import (
	"fmt"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/laureltally/laureltally/internal/boundedhttp"
)

// serveAdmin starts the server for health, status and metrics.
func (s *Server) serveAdmin() (*http.Server, error) {
	ln, err := s.listenAdmin()
	if err != nil {
		return nil, err
	}
	server := ln.Server(s.adminRoutes())
	go func() { _ = server.Serve(ln) }()
	return server, nil
}

func (s *Server) listenAdmin() (*boundedhttp.Listener, error) {
	ln, err := boundedhttp.Listen("tcp", s.o.Settings.AdminListen, boundedhttp.Small())
	if err != nil {
		return nil, fmt.Errorf("listen on admin address: %w", err)
	}
	return ln, nil
}

// adminRoutes returns the handler of the admin address.
func (s *Server) adminRoutes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", s.handleHealth)
	r.HandleFunc("/readyz", s.handleReady)
	r.HandleFunc("/admin/status", s.handleStatus)
	if s.o.MetricsHandler != nil {
		r.Handle("/metrics", s.o.MetricsHandler)
	}
	return r
}
