package config

// ProblemCode tells what kind of fault a Problem is.
type ProblemCode string

// The kinds of faults.
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
