package config

// ChangeKind is the kind of a Change.
type ChangeKind string

// The kinds of changes.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeRemoved ChangeKind = "removed"
	ChangeChanged ChangeKind = "changed"
)
