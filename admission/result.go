package admission

// Result tells how a started request ended.
type Result int

// The results of a request.
const (
	// Succeeded requests teach the queue how long the upstream takes.
	Succeeded Result = iota
	// Failed requests say nothing of the load.
	Failed
	// Rejected requests were turned away by the upstream because of its load.
	Rejected
)
