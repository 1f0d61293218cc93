package standin

// EngineFaults is the body of /control/faults of an engine.
type EngineFaults struct {
	// LoadSlowdown multiplies the load times; zero means one.
	LoadSlowdown float64 `json:"load_slowdown"`
	// FailLoads is how many of the next loads end without a loaded model.
	FailLoads int `json:"fail_loads"`
	// HangOrders keeps accepted orders running for as long as it is set.
	HangOrders bool `json:"hang_orders"`
	// Stall stops all streams without closing them.
	Stall bool `json:"stall"`
	// FailRequests is how many of the next requests are answered with 500
	// before they run.
	FailRequests int `json:"fail_requests"`
}
