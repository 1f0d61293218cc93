package ingress

import (
	"net/http"
	"time"

	"github.com/laureltally/laureltally/serving"
)

// Protocol translates headers between callers, the system and upstreams.
type Protocol interface {
	ReadRequest(http.Header) serving.RequestInfo
	PrepareAttempt(http.Header, serving.AttemptInfo)
	ReadResponse(status int, h http.Header) serving.ResponseInfo
	// RetryAfter writes the value of a Retry-After header.
	RetryAfter(time.Duration) string
}
