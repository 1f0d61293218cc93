package idempotency

// phase is the state of a stored record. Its values are stored and never
// change.
type phase uint8

// The phases of a record.
const (
	// phaseClaimed: the recorded attempt may run.
	phaseClaimed phase = 1
	// phaseReleased: the recorded attempt was rejected as not run, and the next
	// request with the key claims it again.
	phaseReleased phase = 2
	// phaseExpired: only the fact that the key was claimed is kept.
	phaseExpired phase = 3
)
