package loadlimit

// Class is the kind of a load. Each class has its own permits.
type Class int

// The classes.
const (
	ModelLoad Class = iota
	AdapterLoad
	classCount
)
