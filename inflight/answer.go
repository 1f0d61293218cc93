package inflight

// Response is what came back for a submitted order.
type Response int

// The answers to a submission. After ResponseLost the order may run or not.
const (
	ResponseAccepted Response = iota + 1
	ResponseRejected
	ResponseLost
)
