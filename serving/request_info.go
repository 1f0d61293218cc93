package serving

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// RequestInfo is what a caller says of a request beside its method, path and
// body.
type RequestInfo struct {
	// ID names this one try of the caller; a caller's retry has another.
	ID string
	// Timeout is how long the caller waits from sending it. Zero means unknown.
	Timeout time.Duration
	// Model and Adapter are empty for a plain service.
	Model   ident.Model
	Adapter ident.Adapter
	// PromptTokens and MaxOutputTokens are the size of a generation.
	PromptTokens, MaxOutputTokens int
	// LikelyOutputTokens is the caller's estimate, or zero.
	LikelyOutputTokens int
	// Prefix are the parts of the prompt, in order; requests share leading parts.
	Prefix []PromptPart
	// LastEventID is set when the caller resumes a stream.
	LastEventID string
}
