package hotpath

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Delays and sizes of the replayed system.
const (
	localDelay  = time.Millisecond
	regionDelay = 30 * time.Millisecond
	// silence is how long a router waits for a VM that no longer answers.
	silence = 500 * time.Millisecond
	// listLag is the lag of the platform's list of VMs.
	listLag = 5 * time.Second
)

// Class is the requests of one priority.
type Class struct {
	Priority ident.Priority
	// Share of all requests.
	Share    float64
	Deadline time.Duration
}

// Outage takes VMs away for a time.
type Outage struct {
	From, Until time.Duration
	// VMs holds the indexes of the VMs that are lost.
	VMs []int
	// Load is how long a VM that is back takes to load the model.
	Load time.Duration
}

// Slowdown changes the speed of VMs for a time.
type Slowdown struct {
	From, Until time.Duration
	VMs         []int
	// Factor multiplies run times.
	Factor float64
}

// Scenario describes one replay.
type Scenario struct {
	Seed uint64
	// Warm is the time that is not measured, End that of the last arrival.
	Warm, End time.Duration
	// VMs, Routers and Offered are per region.
	VMs     []int
	Routers int
	// Offered is the arrival rate in multiples of the capacity of all VMs.
	Offered func(at time.Duration) []float64
	Classes []Class
	// Places is how many requests a VM serves at once at full speed, Stated what
	// the model says.
	Places, Stated int
	// Service is the mean run time, Sigma the spread of its logarithm.
	Service time.Duration
	Sigma   float64
	// Idempotent is the share of requests that may be repeated.
	Idempotent float64
	// Prefixes is the number of distinct prompt prefixes, Cached how many of them
	// fit in the cache of one VM; zero means no prefixes.
	Prefixes, Cached int
	// ReportEvery and ReportLag tell how load reports reach the routers.
	ReportEvery, ReportLag time.Duration
	// Comebacks is how often a refused client comes back when it is told to.
	Comebacks int
	Outage    *Outage
	Slowdown  *Slowdown
	// NoCrossing keeps requests in their region.
	NoCrossing bool
	Policy     Policy
}

// Policy names the decisions to use. The zero value is the project's own.
type Policy struct {
	Queue Queueing
	Route Routing
	Retry Retrying
	// FixedLimit turns the adaptive concurrency limit off.
	FixedLimit bool
	// Hedging makes second attempts at slow idempotent requests.
	Hedging bool
	// NoEjection turns outlier ejection off.
	NoEjection bool
	// FixedRetryAfter sets every Retry-After to this time.
	FixedRetryAfter time.Duration
	// Alone makes each router count only its own requests.
	Alone bool
	// EqualShares gives every region the same share of each VM.
	EqualShares bool
	// PriorityLag replaces the default of the queue.
	PriorityLag time.Duration
	// BlindReports leaves the priorities out of load reports.
	BlindReports bool
	// WaitShare replaces the default of the queue.
	WaitShare float64
	// CrossingShare replaces the default of the chooser.
	CrossingShare float64
	// Choices and FreeShare replace defaults of the chooser.
	Choices   int
	FreeShare float64
	// LoadBound replaces the default of the chooser.
	LoadBound float64
}

// Queueing is a kind of queue at the agents.
type Queueing int

// The kinds of queues.
const (
	OwnQueue Queueing = iota
	FIFO
)

// Routing is a kind of choice at the routers.
type Routing int

// The kinds of choices.
const (
	OwnRouting Routing = iota
	Random
	RoundRobin
	LeastReported
)

// Retrying is a kind of retry policy at the routers.
type Retrying int

// The kinds of retry policies.
const (
	OwnRetries Retrying = iota
	ThreeRetries
)
