package routing

import "time"

// member is one VM as a candidate for one target.
type member struct {
	state       *vmState
	serviceTime time.Duration
	// adapters holds the hashes of the loaded adapters.
	adapters hashSet
}

// runTime returns the run time that the VM reports, or else the time measured
// by the router, which includes the wait at the VM.
func (m *member) runTime() time.Duration {
	if m.state.runTime > 0 {
		return m.state.runTime
	}
	return m.serviceTime
}

// hasAdapter reports whether the adapter with the hash is loaded. A zero hash,
// for no adapter, is always loaded.
func (m *member) hasAdapter(hash uint64) bool { return hash == 0 || m.adapters.has(hash) }
