package upstreamhttp

import (
	"bytes"
	"net/http"
	"strconv"
)

// Request is one request as it is to appear on the wire.
type Request struct {
	Method string
	// Target is the path with query, unchanged from the caller.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody tells an empty body from none.
	HasBody bool
	// Matches tells whether an answer with this header belongs to the request.
	Matches func(http.Header) bool
}

// head writes the request line and the header.
func (r *Request) head(b *bytes.Buffer) {
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if r.HasBody || len(r.Body) > 0 {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
}
