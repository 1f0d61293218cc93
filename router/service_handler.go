package router

import (
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"github.com/laureltally/laureltally/catalog"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// handleService serves /services/{environment}/{service}/...
func (s *Server) handleService(w http.ResponseWriter, r *http.Request) {
	vars := mux.Vars(r)
	req, env, failure := s.readRequest(w, r, ident.Environment(vars["environment"]))
	if failure != nil {
		s.refuse(w, r, failure)
		return
	}
	name := ident.Service(vars["service"])
	service, priority, ok := env.catalog.Load().Service(name)
	if !ok {
		s.refuse(w, r, notRun(wire.CodeUnknownService, "there is no service %q", name))
		return
	}
	path := servicePath(r, vars["environment"], vars["service"])
	req.Service = name
	req.Upstream = service.Upstream
	req.Priority = priority
	req.Path = path
	req.NonIdempotent = catalog.NonIdempotent(service, r.Method, strings.SplitN(path, "?", 2)[0])
	s.serve(w, r, env, req, newBudgetedSink(w, r))
}

// servicePath returns the escaped path below the service's prefix, with the query.
func servicePath(r *http.Request, environment, service string) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+environment+"/"+service)
	if path == "" {
		path = "/"
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}
