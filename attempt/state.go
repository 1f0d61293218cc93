package attempt

// State is the state of an attempt in the table.
type State int

// States of an attempt. An attempt that is not in the table is Forgotten if its
// number is at or below its sequence's floor, and NeverSeen otherwise.
const (
	// NeverSeen attempts may still arrive.
	NeverSeen State = iota
	// Tombstoned attempts have not run here and never will.
	Tombstoned
	// Queued attempts are accepted, but not yet sent to the upstream.
	Queued
	// Running attempts may have reached the upstream.
	Running
	// Finished attempts have a complete response.
	Finished
	// Aborted attempts have run, fully or in part, without a complete response.
	Aborted
	// Forgotten attempts are refused; whether they ran is unknown.
	Forgotten
)

// ended reports whether an attempt in this state stays in it until it is
// forgotten.
func (s State) ended() bool { return s == Tombstoned || s == Finished || s == Aborted }
