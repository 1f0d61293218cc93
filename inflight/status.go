package inflight

// status is what is known of the open order.
type status int

const (
	statusSent status = iota + 1
	statusAccepted
	statusUnknown
)
