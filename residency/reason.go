package residency

// Reason is why a request was refused.
type Reason string

// The reasons.
const (
	// ReasonFull means that the engine has too many requests to serve this one in
	// time.
	ReasonFull Reason = "engine full"
	// ReasonRequestLimit means that the engine takes fewer requests a second.
	ReasonRequestLimit Reason = "request limit of the engine"
	// ReasonLoad means that the model can't be loaded in time.
	ReasonLoad Reason = "load takes too long"
	// ReasonTimeout means that the request was not admitted within its MaxWait.
	ReasonTimeout Reason = "waited too long"
	// ReasonDisplaced means that the request waited and can't be served in time any more,
	// since a more urgent one has arrived.
	ReasonDisplaced Reason = "more urgent requests precede"
	// ReasonNoPermit means that the weights are only in the weight store and the permit to
	// load them was denied.
	ReasonNoPermit Reason = "no load permit"
	// ReasonUnknownModel means that the model is not configured.
	ReasonUnknownModel Reason = "unknown model"
	// ReasonTooLarge means that the prompt never fits into the engine's cache.
	ReasonTooLarge Reason = "prompt exceeds the engine's cache"
	// ReasonLeaving means that the engine is about to stop.
	ReasonLeaving Reason = "engine is leaving"
	// ReasonEnded means that the engine's process has ended.
	ReasonEnded Reason = "engine has ended"
	// ReasonNoReport means that there is no recent snapshot of the engine.
	ReasonNoReport Reason = "engine does not report"
)

// Gone reports whether the engine takes no more requests, of whatever kind.
func (r Reason) Gone() bool { return r == ReasonLeaving || r == ReasonEnded }
