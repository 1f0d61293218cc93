package upstreamhttp

import (
	"bytes"
	"net/http"
	"strconv"
)

// Request is one request as it is sent to the upstream.
type Request struct {
	Method string
	// Target is the path with the query, unchanged from the caller's request.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody distinguishes an empty body from no body.
	HasBody bool
	// Matches tells whether a response with this header belongs to the request. If it is nil,
	// all do.
	Matches func(http.Header) Match
}

// writeHead writes the request line and the header to b.
func (r *Request) writeHead(b *bytes.Buffer) {
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
