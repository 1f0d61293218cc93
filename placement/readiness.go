package placement

// Readiness is how soon a VM can serve a request for a model.
type Readiness string

// The levels of readiness.
const (
	// Loaded VMs can run the request at once.
	Loaded Readiness = "loaded"
	// Loading VMs are loading the model, or will for requests that wait for it there.
	Loading Readiness = "loading"
	// Cached VMs have the weights in memory or on disk.
	Cached Readiness = "at_hand"
	// Remote VMs have to load the model from the weight store.
	Remote Readiness = "remote"
)
