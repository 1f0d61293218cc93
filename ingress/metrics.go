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
	// upstreamsLeaving and upstreamPauses count what upstreams have asked for in
	// responses, storeRestores the restores of the store, resumesRefused the streams
	// whose software version was unknown and originsNotRecorded those that no sidecar
	// could be told of.
	upstreamsLeaving, upstreamPauses tally.Counter
	// requestLimitNews counts the request limits, and their ends, that upstreams named and
	// that other routers were told of.
	requestLimitNews                   tally.Counter
	storeRestores                      tally.Counter
	resumesRefused, originsNotRecorded tally.Counter
	// quarantines counts the prompt parts that were quarantined, quarantineRefusals the
	// requests refused for one, newsNotTold the failures to tell a sidecar what other
	// routers have to know.
	quarantines, quarantineRefusals, newsNotTold, serversCrashed tally.Counter
	// heldBytes is what is held for callers, heldBytesBudget its limit. readersDisconnected
	// counts the stalled callers that were disconnected, bodiesRefused the request bodies
	// that did not fit.
	heldBytes, heldBytesBudget         tally.Gauge
	readersDisconnected, bodiesRefused tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope:            scope,
		timeToFirstEvent: scope.Histogram("first_byte_seconds", latencyBuckets),
		reserve:          scope.Histogram("reserve_seconds", latencyBuckets),
		attempts:         scope.Counter("attempts"),

		upstreamsLeaving: scope.Counter("upstreams_leaving"), upstreamPauses: scope.Counter("upstream_pauses"),
		requestLimitNews: scope.Counter("request_limit_news"),

		storeRestores:  scope.Counter("store_restores"),
		resumesRefused: scope.Counter("resumes_refused"), originsNotRecorded: scope.Counter("stream_origins_not_recorded"),
		quarantines: scope.Counter("quarantines"), quarantineRefusals: scope.Counter("quarantine_refusals"), newsNotTold: scope.Counter("news_not_told"),
		serversCrashed: scope.Counter("servers_crashed"),

		heldBytes: scope.Gauge("held_bytes"), heldBytesBudget: scope.Gauge("held_bytes_budget"),
		readersDisconnected: scope.Counter("readers_disconnected"), bodiesRefused: scope.Counter("bodies_refused"),
	}
}

// countAttempt counts an attempt by its outcome.
func (m *metrics) countAttempt(outcome outcome) {
	m.scope.Tagged(map[string]string{"outcome": string(outcome)}).Counter("attempts_ended").Inc(1)
}

// countRequest counts a finished request by its outcome.
func (m *metrics) countRequest(outcome string) {
	m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("requests").Inc(1)
}
