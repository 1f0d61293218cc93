package placement

// Readiness tells what a request meets at the chosen VM.
type Readiness string

// The kinds of readiness.
const (
	// Loaded VMs can run the request at once.
	Loaded Readiness = "loaded"
	// Loading VMs are loading the model already.
	Loading Readiness = "loading"
	// Cached VMs have the weights in memory or on disk.
	Cached Readiness = "at_hand"
	// Remote VMs have to load the model from the weight store.
	Remote Readiness = "remote"
)
