package upstreamhttp

import (
	"io"

	"github.com/laureltally/laureltally/internal/headlimit"
)

// headLimiter limits what is read while a header is parsed, which net/http does not.
type headLimiter struct {
	in    io.Reader
	limit headlimit.Limiter
}

// begin starts a header, end ends it.
func (l *headLimiter) begin() { l.limit.Begin() }
func (l *headLimiter) end()   { l.limit.End() }

// Read implements io.Reader. It fails with a *headlimit.SizeError at the limit.
func (l *headLimiter) Read(b []byte) (int, error) {
	allowed, err := l.limit.Allowed(len(b))
	if err != nil {
		return 0, err
	}
	n, err := l.in.Read(b[:allowed])
	l.limit.Add(b[:n])
	return n, err
}
