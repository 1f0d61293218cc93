package residency

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// RequestID identifies a request within one Scheduler.
type RequestID uint64

// Request asks for a reservation at the engine.
type Request struct {
	ID       RequestID
	Model    ident.Model
	Adapter  ident.Adapter
	Priority ident.Priority
	// Tenant is that of the caller, or empty for none.
	Tenant ident.Tenant
	// Allotment is the rate of the tenant's allotment, or zero without one. It is compared with
	// those of other tenants only.
	Allotment float64
	// CacheTokens is the number of cache tokens that the request may take, of which
	// PromptTokens are prefilled before its first event.
	CacheTokens  int
	PromptTokens int
	// MaxWait is how long the request may wait for admission, from now.
	MaxWait time.Duration
	// Objective is the target time from now to the beginning of the response.
	Objective time.Duration
	// Deadline is the time from now in which a response is useful, or zero if it is unknown.
	Deadline time.Duration
	// MaxEventGap is the longest pause between events that the caller accepts.
	MaxEventGap time.Duration
	// SharedMachine is set if servers of the engine's service state how slow their machines
	// are, which they share with others.
	SharedMachine bool
	// Resumed is set if the caller has the beginning of the response.
	Resumed bool
}
