package ingress

import (
	"net/http"
	"slices"
	"strings"
)

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	"Content-Length",
}

// forwardHeader copies a header without what concerns one connection only.
func forwardHeader(h http.Header) http.Header {
	out := make(http.Header, len(h)+2)
	for name, values := range h {
		if !slices.Contains(hopHeaders, name) {
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

// copyHeader passes an upstream's header on.
func copyHeader(dst, src http.Header) {
	for name, values := range forwardHeader(src) {
		dst[name] = values
	}
}

// headerBytes is about the size of a request's header on the wire.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + len("  HTTP/1.1\r\nHost: \r\n\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
