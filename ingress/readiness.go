package ingress

import (
	"net/http"

	"github.com/gorilla/mux"
)

// readinessHandler answers the balancer's probes.
func (s *Server) readinessHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(s.o.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !s.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}).Methods(http.MethodGet)
	return r
}

// ready tells whether callers should be sent here: a configuration and a listing
// of VMs are known, however old, and the process is not stopping.
func (s *Server) ready() bool {
	return s.inForce.Get() != nil && !s.belief.listedAt().IsZero() && !s.draining.Load()
}
