package ingress

import (
	"net/http"

	"github.com/gorilla/mux"
)

// readinessHandler responds to the load balancer's probes.
func (s *Server) readinessHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(s.o.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !s.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}).Methods(http.MethodGet)
	return r
}

// ready reports whether callers should be sent to this process: it has a
// configuration and a VM list, however old, and is not stopping.
func (s *Server) ready() bool {
	return s.currentConfig.Get() != nil && !s.clusterState.listedAt().IsZero() && !s.draining.Load()
}
