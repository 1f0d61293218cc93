package inflight

// Response is the result of submitting an order.
type Response int

// The results of a submission. After ResponseLost it is not known whether the
// order runs.
const (
	ResponseAccepted Response = iota + 1
	ResponseRejected
	ResponseLost
)
