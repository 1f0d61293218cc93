package config

// ChangeKind tells what became of a field.
type ChangeKind string

// The kinds of changes.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeRemoved ChangeKind = "removed"
	ChangeChanged ChangeKind = "changed"
)
