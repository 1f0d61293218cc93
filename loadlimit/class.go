package loadlimit

// Class tells what is loaded. Each class has its own places.
type Class int

// The classes.
const (
	ModelLoad Class = iota
	AdapterLoad
	classCount
)
