package ingress

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// latencyBuckets cover both timely responses and requests at their deadline.
var latencyBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	400 * time.Millisecond, 600 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond,
	2500 * time.Millisecond, 4 * time.Second, 8 * time.Second, 15 * time.Second, 30 * time.Second,
}

// metrics holds the counters and histograms of the server.
type metrics struct {
	scope            tally.Scope
	timeToFirstEvent tally.Histogram
	reserve          tally.Histogram
	attempts         tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope:            scope,
		timeToFirstEvent: scope.Histogram("first_byte_seconds", latencyBuckets),
		reserve:          scope.Histogram("reserve_seconds", latencyBuckets),
		attempts:         scope.Counter("attempts"),
	}
}

// countRequest counts a finished request by its outcome.
func (m *metrics) countRequest(outcome string) {
	m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("requests").Inc(1)
}
