package gossip

// state is one reported state of a process: its sequence number, and the log
// position at which the view stored it.
type state struct {
	position uint64
	seq      uint64
}
