package objecthttp

// ProblemCode is the reason why a call failed.
type ProblemCode string

// The reasons for which a call fails.
const (
	ProblemNotFound    ProblemCode = "not_found"
	ProblemConflict    ProblemCode = "conflict"
	ProblemCompacted   ProblemCode = "compacted"
	ProblemTooLarge    ProblemCode = "too_large"
	ProblemMalformed   ProblemCode = "malformed"
	ProblemUnavailable ProblemCode = "unavailable"
)
