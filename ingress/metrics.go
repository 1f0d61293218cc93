package ingress

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/laureltally/laureltally/ident"
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
	// whose software version was unknown or gone, originsNotRecorded those that no sidecar
	// could be told of, and originQueriesFailed the queries that a sidecar did not answer.
	upstreamsLeaving, upstreamPauses tally.Counter
	// requestLimitNews counts the request limits, and their ends, that upstreams named and
	// that other routers were told of.
	requestLimitNews                                        tally.Counter
	storeRestores                                           tally.Counter
	resumesRefused, originsNotRecorded, originQueriesFailed tally.Counter
	// quarantines counts the prompt parts that were quarantined, quarantineRefusals the
	// requests refused for one, newsNotTold the failures to tell a sidecar what other
	// routers have to know.
	quarantines, quarantineRefusals, newsNotTold, serversCrashed tally.Counter
	tenants                                                      tenantLabels
	// heldBytes is what is held for callers, heldBytesBudget its limit. readersDisconnected
	// counts the stalled callers that were disconnected, bodiesRefused the request bodies
	// that did not fit.
	heldBytes, heldBytesBudget         tally.Gauge
	readersDisconnected, bodiesRefused tally.Counter
	// heldFiles is the number of descriptors held for callers, heldFilesBudget its limit.
	// connectionsRefused counts the connections that were closed when they were accepted,
	// requestsRefused the requests for which there was no room.
	heldFiles, heldFilesBudget          tally.Gauge
	connectionsRefused, requestsRefused tally.Counter
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
		originQueriesFailed: scope.Counter("stream_origin_queries_failed"),
		quarantines:         scope.Counter("quarantines"), quarantineRefusals: scope.Counter("quarantine_refusals"), newsNotTold: scope.Counter("news_not_told"),
		serversCrashed: scope.Counter("servers_crashed"),

		heldBytes: scope.Gauge("held_bytes"), heldBytesBudget: scope.Gauge("held_bytes_budget"),
		readersDisconnected: scope.Counter("readers_disconnected"), bodiesRefused: scope.Counter("bodies_refused"),
		heldFiles: scope.Gauge("held_files"), heldFilesBudget: scope.Gauge("held_files_budget"),
		connectionsRefused: scope.Counter("connections_refused"), requestsRefused: scope.Counter("requests_refused_no_room"),
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

// countKeyRefusal counts a request that was refused for its key.
func (m *metrics) countKeyRefusal(v authVerdict) {
	m.scope.Tagged(map[string]string{"reason": string(v)}).Counter("key_refusals").Inc(1)
}

// countTenantRequest counts a finished request of a tenant by the class of its response's
// status, "2xx" for example, or "none" if no response was sent.
func (m *metrics) countTenantRequest(tenant ident.Tenant, status int) {
	class := "none"
	if status > 0 {
		class = strconv.Itoa(status/100) + "xx"
	}
	m.scope.Tagged(map[string]string{"tenant": m.tenants.label(tenant), "status": class}).Counter("tenant_requests").Inc(1)
}

// allotmentOutcome is what became of a request's cost. It is a metric tag.
type allotmentOutcome string

// The outcomes.
const (
	// allotmentGranted means that the cost was granted, and allotmentReturned that it was
	// given back afterwards, since no upstream got the request.
	allotmentGranted  allotmentOutcome = "granted"
	allotmentReturned allotmentOutcome = "returned"
	// allotmentRefused means that the tenant's banks had too little, and
	// allotmentUnavailable that none could be asked.
	allotmentRefused     allotmentOutcome = "refused"
	allotmentUnavailable allotmentOutcome = "unavailable"
)

// countAllotment counts a request and its cost by what became of it.
func (m *metrics) countAllotment(tenant ident.Tenant, o allotmentOutcome, cost float64) {
	s := m.scope.Tagged(map[string]string{"tenant": m.tenants.label(tenant), "outcome": string(o)})
	s.Counter("allotment_requests").Inc(1)
	s.Counter("allotment_cost").Inc(int64(cost))
}

// countUnansweredBank counts a request that a bank did not answer.
func (m *metrics) countUnansweredBank(tenant ident.Tenant) {
	m.scope.Tagged(map[string]string{"tenant": m.tenants.label(tenant)}).Counter("allotment_banks_unanswered").Inc(1)
}
