package router

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/laureltally/laureltally/wire"
)

// Failure is the final result of a request without a response from an upstream. Run
// reports whether the request has run; RetryAfter is zero if a retry is useless.
type Failure struct {
	Code       wire.Code
	Run        wire.RunState
	RetryAfter time.Duration
	Detail     string
}

// Error implements error.
func (f *Failure) Error() string { return fmt.Sprintf("%s (%s): %s", f.Code, f.Run, f.Detail) }

// Status returns the HTTP status of the failure.
func (f *Failure) Status() int {
	switch f.Code {
	case wire.CodeMalformed:
		return http.StatusBadRequest
	case wire.CodeUnauthorized:
		return http.StatusUnauthorized
	case wire.CodeUnknownModel, wire.CodeUnknownEnvironment, wire.CodeUnknownService:
		return http.StatusNotFound
	case wire.CodeBodyTimeout:
		return http.StatusRequestTimeout
	case wire.CodeKeyReused:
		return http.StatusUnprocessableEntity
	case wire.CodeResponseExpired:
		return http.StatusGone
	case wire.CodeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case wire.CodeRateLimited:
		return http.StatusTooManyRequests
	case wire.CodeUpstreamFailed, wire.CodeUpstreamLost:
		return http.StatusBadGateway
	case wire.CodeDeadline:
		return http.StatusGatewayTimeout
	case wire.CodeInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}

// errorType returns the coarse error type that clients of the API expect.
func (f *Failure) errorType() string {
	switch s := f.Status(); {
	case s == http.StatusUnauthorized:
		return "authentication_error"
	case s == http.StatusTooManyRequests:
		return "rate_limit_error"
	case s < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// errorBody is the JSON of a failure in the API's error format, with the additional
// fields run and retry_after_ms.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message      string        `json:"message"`
	Type         string        `json:"type"`
	Param        *string       `json:"param"`
	Code         wire.Code     `json:"code"`
	Run          wire.RunState `json:"run"`
	RetryAfterMS int64         `json:"retry_after_ms,omitempty"`
}

// body returns the failure as JSON.
func (f *Failure) body() []byte {
	b, err := json.Marshal(errorBody{Error: errorDetail{
		Message:      f.Detail,
		Type:         f.errorType(),
		Code:         f.Code,
		Run:          f.Run,
		RetryAfterMS: f.RetryAfter.Milliseconds(),
	}})
	if err != nil {
		return []byte(`{"error":{"code":"internal","run":"unknown"}}`)
	}
	return b
}

// write sends the failure as the complete response.
func (f *Failure) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if f.RetryAfter > 0 {
		seconds := int64(math.Ceil(f.RetryAfter.Seconds()))
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	b := f.body()
	h.Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(f.Status())
	_, _ = w.Write(b)
}

// notRun returns the failure of a request that was not dispatched.
func notRun(code wire.Code, format string, args ...any) *Failure {
	return &Failure{Code: code, Run: wire.RunStateNotRun, Detail: fmt.Sprintf(format, args...)}
}
