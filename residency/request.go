package residency

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// RequestID names a request within one Machine.
type RequestID uint64

// Request asks for a place.
type Request struct {
	ID       RequestID
	Model    ident.Model
	Adapter  ident.Adapter
	Priority ident.Priority
	// CacheTokens is how much of the cache it may take, of which Prompt is read before its
	// first event.
	CacheTokens  int
	PromptTokens int
	// MaxWait is how long it waits for a place from now.
	MaxWait time.Duration
	// Objective is how soon it should begin to be answered.
	Objective time.Duration
	// MaxEventGap is the longest pause between events that its caller accepts.
	MaxEventGap time.Duration
}
