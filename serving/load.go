package serving

// Load is the load of a VM as it reports it.
type Load struct{ Running, Waiting, Concurrency int }
