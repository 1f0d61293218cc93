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

// readBody reads a request's body within maxBytes and the body timeout.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, *Failure) {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(s.o.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err != nil {
		return nil, bodyFailure(err, maxBytes)
	}
	_ = rc.SetReadDeadline(time.Time{})
	return body, nil
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
