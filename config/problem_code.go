package config

// ProblemCode is the kind of a Problem.
type ProblemCode string

// The kinds of problems.
const (
	ProblemSyntax    ProblemCode = "syntax"
	ProblemUnknown   ProblemCode = "unknown_field"
	ProblemType      ProblemCode = "type"
	ProblemDuplicate ProblemCode = "duplicate"
	ProblemReference ProblemCode = "reference"
	ProblemRange     ProblemCode = "range"
	ProblemMissing   ProblemCode = "missing"
	ProblemName      ProblemCode = "name"
)
