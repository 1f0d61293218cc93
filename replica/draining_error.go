package replica

// DrainingError reports that the agent takes no more work. The request has not
// run.
type DrainingError struct{}

// Error implements error.
func (*DrainingError) Error() string { return "agent is draining" }
