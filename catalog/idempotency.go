package catalog

import (
	"net/http"
	"slices"
	"strings"

	"github.com/laureltally/laureltally/config"
)

// NonIdempotent reports whether a call of the service must not run more than
// once. path is the path below that of the service and starts with a slash.
func NonIdempotent(s config.Service, method, path string) bool {
	for _, r := range s.Routes {
		if matches(r, method, path) {
			return r.NonIdempotent
		}
	}
	return method != http.MethodGet && method != http.MethodHead && method != http.MethodOptions
}

func matches(r config.Route, method, path string) bool {
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	return strings.HasPrefix(path, r.PathPrefix)
}
