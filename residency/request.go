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
	// CacheTokens is the number of cache tokens that the request may take, of which
	// PromptTokens are prefilled before its first event.
	CacheTokens  int
	PromptTokens int
	// MaxWait is how long the request may wait for admission, from now.
	MaxWait time.Duration
	// Objective is the target time from now to the beginning of the response.
	Objective time.Duration
	// MaxEventGap is the longest pause between events that the caller accepts.
	MaxEventGap time.Duration
	// SlownessStated is set if servers of the engine's service state how slow their machines
	// are.
	SlownessStated bool
}
