package boundedhttp

import (
	"net/http"
	"time"
)

// withoutBodies closes the connection after the response to a request with a body, of which
// nothing is read.
func withoutBodies(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			h.ServeHTTP(w, r)
			return
		}
		// Without the original body, the server does not linger for its rest.
		r.Body = http.NoBody
		w.Header().Set("Connection", "close")
		h.ServeHTTP(w, r)
		_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	})
}
