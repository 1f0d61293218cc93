package headlimit

import "bytes"

const (
	// MaxBytes bounds what is read of a connection before the head of a response is complete,
	// informational responses included.
	MaxBytes = 64 << 10
	// MaxLines bounds the lines of these bytes. A parsed field of four bytes takes up to twenty
	// times as much memory. Responses of upstreams have about ten fields, and common proxies
	// accept 100.
	MaxLines = 256
)

// Limiter counts the bytes and lines of a head. It does no I/O; the zero value has no limit.
type Limiter struct {
	// limited is set while a head is read, of which bytes and lines have arrived.
	limited      bool
	bytes, lines int
	exceeded     bool
}

// Begin starts a head and End ends it.
func (l *Limiter) Begin() { *l = Limiter{limited: true} }
func (l *Limiter) End()   { l.limited = false }

// Allowed returns how many of n bytes may be read next, or a *SizeError at a limit. Bytes are
// read while the head is incomplete, so that all that were read before belong to it: the lines of
// a body that arrives with the end of a head are never counted against it.
func (l *Limiter) Allowed(n int) (int, error) {
	switch {
	case !l.limited:
		return n, nil
	case l.bytes >= MaxBytes || l.lines >= MaxLines:
		l.exceeded = true
		return 0, &SizeError{}
	}
	return min(n, MaxBytes-l.bytes), nil
}

// Exceeded reports whether a head did not end within the limits since the last Begin. A parser that
// is refused the rest of a line may call the line malformed instead.
func (l *Limiter) Exceeded() bool { return l.exceeded }

// Add counts bytes that were read.
func (l *Limiter) Add(b []byte) {
	if l.limited {
		l.bytes += len(b)
		l.lines += bytes.Count(b, []byte{'\n'})
	}
}
