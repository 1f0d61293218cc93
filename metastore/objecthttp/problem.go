package objecthttp

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/laureltally/laureltally/metastore"
)

// Problem is the body of a failed call.
type Problem struct {
	Code   ProblemCode `json:"code"`
	Detail string      `json:"detail,omitempty"`
	// Expected and Actual are the versions of a conflict. For ProblemCompacted,
	// Expected is the version that the watch was to start after, and Actual that of
	// the oldest change kept.
	Expected metastore.Version `json:"expected,omitempty"`
	Actual   metastore.Version `json:"actual,omitempty"`
	Bytes    int               `json:"bytes,omitempty"`
	// RetryAfterMS is the pause before a retry, in milliseconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string { return fmt.Sprintf("object API: %s: %s", p.Code, p.Detail) }

// NewProblem returns the problem for an error of a metastore.Store.
func NewProblem(err error) *Problem {
	p := &Problem{Code: ProblemUnavailable, Detail: err.Error()}
	var (
		notFound    *metastore.NotFoundError
		conflict    *metastore.ConflictError
		compacted   *metastore.CompactedError
		size        *metastore.ValueSizeError
		unavailable *metastore.UnavailableError
	)
	switch {
	case errors.As(err, &notFound):
		p.Code = ProblemNotFound
	case errors.As(err, &conflict):
		p.Code, p.Expected, p.Actual = ProblemConflict, conflict.Expected, conflict.Actual
	case errors.As(err, &compacted):
		p.Code, p.Expected, p.Actual = ProblemCompacted, compacted.Since, compacted.Oldest
	case errors.As(err, &size):
		p.Code, p.Bytes = ProblemTooLarge, size.Bytes
	case errors.As(err, &unavailable):
		p.RetryAfterMS = unavailable.RetryAfter.Milliseconds()
	}
	return p
}

// Status returns the HTTP status of a response with the problem.
func (p *Problem) Status() int {
	switch p.Code {
	case ProblemNotFound:
		return http.StatusNotFound
	case ProblemConflict:
		return http.StatusPreconditionFailed
	case ProblemCompacted:
		return http.StatusGone
	case ProblemTooLarge:
		return http.StatusRequestEntityTooLarge
	case ProblemMalformed:
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}

// err converts the problem to the error of package metastore for a call.
func (p *Problem) err(op, key string) error {
	switch p.Code {
	case ProblemNotFound:
		return &metastore.NotFoundError{Key: key}
	case ProblemConflict:
		return &metastore.ConflictError{Key: key, Expected: p.Expected, Actual: p.Actual}
	case ProblemCompacted:
		return &metastore.CompactedError{Since: p.Expected, Oldest: p.Actual}
	case ProblemTooLarge:
		return &metastore.ValueSizeError{Key: key, Bytes: p.Bytes}
	default:
		after := time.Duration(p.RetryAfterMS) * time.Millisecond
		return &metastore.UnavailableError{Op: op, RetryAfter: after, Err: p}
	}
}
