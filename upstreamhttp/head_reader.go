package upstreamhttp

import (
	"io"

	"github.com/laureltally/laureltally/internal/headlimit"
	"github.com/laureltally/laureltally/internal/responsehead"
)

// headReader limits and checks what is read while a header is parsed, more strictly than net/http.
type headReader struct {
	in     io.Reader
	limit  headlimit.Limiter
	syntax responsehead.Scanner
}

// begin starts a header, of which some bytes may have been read with the response before. It fails
// with a *responsehead.SyntaxError if they are malformed.
func (r *headReader) begin(buffered []byte) error {
	r.limit.Begin()
	r.syntax.Begin()
	return r.syntax.Add(buffered)
}

// end ends a header.
func (r *headReader) end() { r.limit.End() }

// Read implements io.Reader. It fails with a *headlimit.SizeError at the limit, and with a
// *responsehead.SyntaxError in place of the bytes of a malformed header.
func (r *headReader) Read(b []byte) (int, error) {
	allowed, err := r.limit.Allowed(len(b))
	if err != nil {
		return 0, err
	}
	n, err := r.in.Read(b[:allowed])
	r.limit.Add(b[:n])
	if err := r.syntax.Add(b[:n]); err != nil {
		return 0, err
	}
	return n, err
}
