package ingress

import (
	"net/http"
	"time"

	"github.com/laureltally/laureltally/serving"
)

// Protocol translates the headers exchanged with callers and upstreams.
type Protocol interface {
	ReadRequest(http.Header) serving.RequestInfo
	PrepareAttempt(http.Header, serving.AttemptInfo)
	ReadResponse(status int, h http.Header) serving.ResponseInfo
	// RetryAfter formats the value of a Retry-After header.
	RetryAfter(time.Duration) string
}
