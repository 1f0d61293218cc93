package upstreamhttp

import "net/http"

// Framing is how the end of a response's body is marked. It is a log value.
type Framing string

// The framings.
const (
	// FramingLength means that the length is stated, and FramingChunked that the last chunk
	// is marked: a body that was broken off is known to be incomplete.
	FramingLength  Framing = "length"
	FramingChunked Framing = "chunked"
	// FramingConnection means that the body ends with the connection. The kernel closes the
	// connections of a process that was killed in the same way.
	FramingConnection Framing = "connection"
)

// FramingOf returns how the end of a response's body is marked.
func FramingOf(r *http.Response) Framing {
	switch {
	case r.ContentLength >= 0:
		return FramingLength
	case len(r.TransferEncoding) > 0:
		return FramingChunked
	}
	return FramingConnection
}
