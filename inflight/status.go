package inflight

// status is the submission status of the order in flight.
type status int

const (
	statusSent status = iota + 1
	statusAccepted
	statusUnknown
)
