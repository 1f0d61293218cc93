package router

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/laureltally/laureltally/wire"
)

// bodyTimeout is the default of Options.BodyTimeout.
const bodyTimeout = 10 * time.Second

const (
	// firstBodyBytes is what is allocated for a body before any of it has come.
	firstBodyBytes = 4 << 10
	// unknownBodyBytes is the same for a body of unknown length.
	unknownBodyBytes = 512
)

// readBody reads a request's body within maxBytes, the body timeout and the budget for all
// bodies.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, *Failure) {
	if r.ContentLength > maxBytes {
		return nil, notRun(wire.CodeBodyTooLarge, "the body is larger than %d bytes", maxBytes)
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(s.o.BodyTimeout))
	body, fits, err := readWithin(http.MaxBytesReader(w, r.Body, maxBytes), r.ContentLength, heldBy(r.Context()))
	if err != nil {
		return nil, bodyFailure(err, maxBytes)
	}
	if !fits {
		return nil, noRoom()
	}
	_ = rc.SetReadDeadline(time.Time{})
	return body, nil
}

// readWithin reads a body whose stated length may be unknown, and reports false if held has
// no room for it. What is allocated doubles as the body comes, up to its length.
func readWithin(r io.Reader, length int64, held *heldBodies) (body []byte, fits bool, err error) {
	size := unknownBodyBytes
	if length >= 0 {
		// One byte more, so that the end is read without another allocation.
		size = int(min(length+1, firstBodyBytes))
	}
	if !held.add(size) {
		return nil, false, nil
	}
	body = make([]byte, 0, size)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			return nil, true, err
		}
		if len(body) < cap(body) {
			continue
		}
		size = 2 * cap(body)
		if length >= int64(cap(body)) {
			size = int(min(length+1, int64(size)))
		}
		if !held.add(size - cap(body)) {
			return nil, false, nil
		}
		grown := make([]byte, len(body), size)
		copy(grown, body)
		body = grown
	}
}

func bodyFailure(err error, maxBytes int64) *Failure {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return notRun(wire.CodeBodyTooLarge, "the body is larger than %d bytes", maxBytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return notRun(wire.CodeBodyTimeout, "the body did not arrive in time")
	default:
		return notRun(wire.CodeCanceled, "the body ended early: %v", err)
	}
}
