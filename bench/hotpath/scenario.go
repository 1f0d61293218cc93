package hotpath

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Delays of the simulated system.
const (
	localDelay  = time.Millisecond
	regionDelay = 30 * time.Millisecond
	// responseTimeout is how long a router waits for a VM that no longer responds.
	responseTimeout = 500 * time.Millisecond
	// listLag is the delay of the platform's VM list.
	listLag = 5 * time.Second
)

// Class describes the requests of one priority.
type Class struct {
	Priority ident.Priority
	// Share is the share of all requests.
	Share    float64
	Deadline time.Duration
}

// Outage makes VMs unavailable for a time.
type Outage struct {
	From, Until time.Duration
	// VMs holds the indexes of the unavailable VMs.
	VMs []int
	// LoadTime is how long a VM takes to load the model after the outage.
	LoadTime time.Duration
}

// Slowdown slows VMs down for a time.
type Slowdown struct {
	From, Until time.Duration
	VMs         []int
	// Factor multiplies run times.
	Factor float64
}

// Scenario describes one simulation.
type Scenario struct {
	Seed uint64
	// WarmUp is the time at the start that is not measured, End the time at which the
	// simulation ends.
	WarmUp, End time.Duration
	// VMs is the number of VMs of each region, Routers the number of routers in each
	// region.
	VMs     []int
	Routers int
	// Offered returns the arrival rate of each region, in multiples of the capacity of
	// all VMs.
	Offered func(at time.Duration) []float64
	Classes []Class
	// Concurrency is the number of requests that a VM runs at once at full speed,
	// ConfiguredConcurrency the number in its configuration.
	Concurrency, ConfiguredConcurrency int
	// RunTime is the mean run time, Sigma the standard deviation of its logarithm.
	RunTime time.Duration
	Sigma   float64
	// Idempotent is the share of requests that are idempotent.
	Idempotent float64
	// Prefixes is the number of distinct prompt prefixes, or zero for requests without
	// prefixes. Cached is the number of them that fit in the cache of one VM.
	Prefixes, Cached int
	// ReportInterval is the interval between two load reports of a VM, ReportLag the
	// delay until they reach the routers.
	ReportInterval, ReportLag time.Duration
	// MaxClientRetries is the number of times that a refused client sends its request
	// again after the time in Retry-After.
	MaxClientRetries int
	Outage           *Outage
	Slowdown         *Slowdown
	// NoCrossRegion keeps requests in their region.
	NoCrossRegion bool
	Policy        Policy
}

// Policy selects the policies to use. The zero value selects the project's own
// with default settings.
type Policy struct {
	Queue Queueing
	Route Routing
	Retry Retrying
	// FixedLimit disables the adaptive concurrency limit.
	FixedLimit bool
	// Hedging sends second attempts of slow idempotent requests.
	Hedging bool
	// NoEjection disables outlier ejection.
	NoEjection bool
	// FixedRetryAfter replaces every Retry-After unless it is zero.
	FixedRetryAfter time.Duration
	// SingleRouter makes each router choose as if it were the only one of its region,
	// so that it counts its own requests once.
	SingleRouter bool
	// EqualShares gives every region the same weight in the queue of each VM.
	EqualShares bool
	// PriorityLag replaces the queue's default unless it is zero.
	PriorityLag time.Duration
	// NoPriorityCounts leaves the waiting requests by priority out of load reports.
	NoPriorityCounts bool
	// WaitShare replaces the queue's default unless it is zero.
	WaitShare float64
	// CrossingShare replaces the chooser's default unless it is zero.
	CrossingShare float64
	// Choices and FreeShare replace the chooser's defaults unless they are zero.
	Choices   int
	FreeShare float64
	// LoadBound replaces the chooser's default unless it is zero.
	LoadBound float64
}

// Queueing is the kind of the agents' queues.
type Queueing int

// The kinds of queues: admission.Queue and a first-in, first-out queue.
const (
	DefaultQueue Queueing = iota
	FIFO
)

// Routing is the way in which routers choose a VM.
type Routing int

// The ways to choose a VM: routing.Table, a random VM, each VM in turn, and the VM
// with the least reported load.
const (
	DefaultRouting Routing = iota
	Random
	RoundRobin
	LeastReported
)

// Retrying is the retry policy of the routers.
type Retrying int

// The retry policies: retry.Policy, and up to three immediate retries.
const (
	DefaultRetries Retrying = iota
	ThreeRetries
)
