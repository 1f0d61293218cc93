package standin

// EngineFaults is the body of /control/faults of an engine.
type EngineFaults struct {
	// LoadSlowdown multiplies the load times; zero means one.
	LoadSlowdown float64 `json:"load_slowdown"`
	// FailLoads is how many of the next loads fail.
	FailLoads int `json:"fail_loads"`
	// HangOrders keeps accepted orders in progress without executing them, for as
	// long as it is set.
	HangOrders bool `json:"hang_orders"`
	// Stall stops the tokens of all requests without closing their connections.
	Stall bool `json:"stall"`
	// FailRequests is how many of the next requests get status 500 without a run.
	FailRequests int `json:"fail_requests"`
}
