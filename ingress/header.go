package ingress

import (
	"net/http"
	"slices"
	"strings"

	"github.com/laureltally/laureltally/internal/header"
)

// unforwardedHeaders are not forwarded: hop-by-hop headers, and those that this
// process sets itself.
var unforwardedHeaders = slices.Concat(header.HopByHop, []string{"Expect", "Content-Length"})

// forwardHeader copies a header without its hop-by-hop fields.
func forwardHeader(h http.Header) http.Header {
	out := make(http.Header, len(h)+2)
	for name, values := range h {
		if !slices.Contains(unforwardedHeaders, name) {
			out[name] = values
		}
	}
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	return out
}

// copyHeader copies the forwarded fields of an upstream's header.
func copyHeader(dst, src http.Header) {
	for name, values := range forwardHeader(src) {
		dst[name] = values
	}
}

// headerSize returns the approximate size of a request's header on the wire, which may be larger
// by the spaces around values, and the number of its fields.
func headerSize(r *http.Request) (n, fields int) {
	n = len(r.Method) + len(r.RequestURI) + len(r.Host) + len("  HTTP/1.1\r\nHost: \r\n\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(":\r\n")
		}
		fields += len(values)
	}
	return n, fields
}
