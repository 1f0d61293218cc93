package serving

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/laureltally/laureltally/ident"
)

// Route is one rule that sends requests to a service.
type Route struct {
	Name string
	// Host is compared case-insensitively and without a port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// Resumable streams may be continued by another VM after the last event that the
	// caller has received.
	Resumable bool
	Targets   []Target
	// Timeout bounds the whole request, including the response.
	Timeout time.Duration
	// Objective is the target time to the beginning of the response.
	Objective time.Duration
	// MaxEventGap is the longest pause between events that callers accept.
	MaxEventGap time.Duration
	// EventTimeout is how long callers wait for the first event, and for each further
	// one, before they abandon a stream. Zero means unknown.
	EventTimeout time.Duration
	Priority     ident.Priority
	// MaxAttempts is the maximum number of VMs that one request may be sent to.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
}

// Retryable reports whether a request may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Pick chooses the service of a request. The same request ID always yields the same
// service.
func (r *Route) Pick(requestID string) ident.Upstream {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	var total float64
	for _, t := range r.Targets {
		total += t.Weight
	}
	// The upper 53 bits fill a float64 without rounding.
	point := float64(xxhash.Sum64String(requestID)>>11) / (1 << 53) * total
	for _, t := range r.Targets {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
