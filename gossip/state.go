package gossip

// state is one state of a process: its number, and the position of the log at
// which the view took it.
type state struct {
	position uint64
	seq      uint64
}
