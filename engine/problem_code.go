package engine

// ProblemCode is the reason why an engine refused an order.
type ProblemCode string

// The reasons for refusing an order.
const (
	ProblemStaleFence   ProblemCode = "stale_fence"
	ProblemBusy         ProblemCode = "busy"
	ProblemMemory       ProblemCode = "out_of_memory"
	ProblemUnknownModel ProblemCode = "unknown_model"
	ProblemMalformed    ProblemCode = "malformed"
)
