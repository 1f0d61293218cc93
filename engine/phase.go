package engine

// Phase is the load phase of a model in an engine.
type Phase string

// The phases of a model.
const (
	PhaseLoading   Phase = "loading"
	PhaseLoaded    Phase = "loaded"
	PhaseUnloading Phase = "unloading"
)
