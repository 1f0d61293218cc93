package replica

// DrainingError reports that the agent accepts no more requests. The request
// was not run.
type DrainingError struct{}

// Error implements error.
func (*DrainingError) Error() string { return "agent is draining" }
