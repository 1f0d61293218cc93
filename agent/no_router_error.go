package agent

// noRouterError reports that no router is connected.
type noRouterError struct{}

// Error implements error.
func (*noRouterError) Error() string { return "no router is connected" }
