package admission

// Result is the outcome of a started request.
type Result int

// The results of a request.
const (
	// Succeeded requests update the run time estimates.
	Succeeded Result = iota
	// Failed requests do not affect the estimates or the limit, because they
	// give no information about the load.
	Failed
	// Rejected requests were refused by the upstream because of its load.
	Rejected
)
