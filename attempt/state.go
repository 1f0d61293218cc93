package attempt

// State is what the table knows of an attempt.
type State int

// The states of an attempt. An attempt that is not in the table is never seen,
// or forgotten if its number is not above its sequence's floor.
const (
	// NeverSeen attempts may still arrive.
	NeverSeen State = iota
	// Tombstoned attempts have not run here and never will.
	Tombstoned
	// Queued attempts are accepted, but the upstream has not been asked.
	Queued
	// Running attempts may have reached the upstream.
	Running
	// Finished attempts have a whole answer.
	Finished
	// Cut attempts have run, wholly or in part, without a whole answer.
	Cut
	// Forgotten attempts are refused, and whether they ran is unknown.
	Forgotten
)

// ended tells whether an attempt in this state stays in it until forgotten.
func (s State) ended() bool { return s == Tombstoned || s == Finished || s == Cut }
