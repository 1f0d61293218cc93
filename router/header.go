package router

import (
	"net/http"
	"slices"

	"github.com/laureltally/laureltally/internal/header"
)

// Headers of the system towards callers.
const (
	// HeaderTimeout bounds the whole request: a duration such as "2.5s", or a
	// number of seconds.
	HeaderTimeout = "X-Laureltally-Timeout"
	// HeaderRequestID carries the id of the request in every response.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey names a non-idempotent request so that it can be
	// repeated safely.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// privateHeaders speak about callers to this system alone.
var privateHeaders = []string{"Authorization", "Cookie", "Host", HeaderTimeout, "X-Priority"}

// forwardHeader returns the headers of a caller's request for an upstream.
func forwardHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range slices.Concat(header.Hop, privateHeaders) {
		out.Del(name)
	}
	return out
}

// copyHeader copies an upstream's headers into a response. The id of the request
// stays the system's own.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		name = http.CanonicalHeaderKey(name)
		if name == HeaderRequestID || slices.Contains(header.Hop, name) {
			continue
		}
		dst[name] = slices.Clone(values)
	}
}

// resetHeader removes an upstream's headers from a response that will be a
// refusal. The id of the request stays.
func resetHeader(h http.Header) {
	id := h.Values(HeaderRequestID)
	clear(h)
	h[HeaderRequestID] = id
}
