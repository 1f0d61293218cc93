package idempotency

// phase is the state of a stored claim. Its numbers are in stored objects and
// never change.
type phase uint8

// The phases of a claim.
const (
	// phaseClaimed names an attempt that may run.
	phaseClaimed phase = 1
	// phaseReleased names an attempt that was refused as not run: the next
	// request with the key claims anew.
	phaseReleased phase = 2
	// phaseExpired keeps only that the key was claimed once.
	phaseExpired phase = 3
)
