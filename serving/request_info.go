package serving

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// RequestInfo is what a caller states about a request in addition to its method, path
// and body.
type RequestInfo struct {
	// ID identifies this attempt of the caller; a retry has a different ID.
	ID string
	// Timeout is how long the caller waits, from sending the request. Zero means
	// unknown.
	Timeout time.Duration
	// Model and Adapter are empty for a plain service.
	Model   ident.Model
	Adapter ident.Adapter
	// PromptTokens and MaxOutputTokens are the size of a generation request.
	PromptTokens, MaxOutputTokens int
	// HasTokenCounts is set if the caller stated both.
	HasTokenCounts bool
	// LikelyOutputTokens is the caller's estimate of the output length, or zero.
	LikelyOutputTokens int
	// Prefix holds the parts of the prompt, in order; requests may share leading
	// parts.
	Prefix []PromptPart
	// LastEventID is set when the caller resumes a stream.
	LastEventID string
	// Resumes is the ID of the caller's attempt that brought the first event of the
	// stream that it resumes, or empty.
	Resumes string
	// Key is the caller's API key, or empty. It is never logged or forwarded.
	Key string
}
