package serving

// Load is the load that a VM reports, in requests.
type Load struct{ Running, Waiting, Concurrency int }
