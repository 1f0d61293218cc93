package router

import (
	"net/http"
	"slices"

	"github.com/laureltally/laureltally/internal/header"
)

// Headers of the API for callers.
const (
	// HeaderTimeout limits the duration of the whole request, or the time to the first
	// part of a stream: a duration such as "2.5s", or a number of seconds.
	HeaderTimeout = "X-Laureltally-Timeout"
	// HeaderRequestID is the id of the request. Every response has it.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey identifies a non-idempotent request so that it can be
	// retried safely.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// privateHeaders are headers for the router that are not forwarded to upstreams.
var privateHeaders = []string{"Authorization", "Cookie", "Host", HeaderTimeout, "X-Priority"}

// forwardHeader returns the headers of a caller's request that are forwarded to the
// upstream.
func forwardHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range slices.Concat(header.HopByHop, privateHeaders) {
		out.Del(name)
	}
	return out
}

// copyHeader copies an upstream's headers into a response. The request id set by the
// router is kept.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		name = http.CanonicalHeaderKey(name)
		if name == HeaderRequestID || slices.Contains(header.HopByHop, name) {
			continue
		}
		dst[name] = slices.Clone(values)
	}
}

// resetHeader removes an upstream's headers from a response that becomes an error
// response. The request id is kept.
func resetHeader(h http.Header) {
	id := h.Values(HeaderRequestID)
	clear(h)
	h[HeaderRequestID] = id
}
