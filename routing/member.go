package routing

import "time"

// member is one VM as a candidate for one target.
type member struct {
	state       *vmState
	serviceTime time.Duration
	// adapters holds the hashes of the loaded adapters.
	adapters hashSet
}

// runTime is what the VM reports, or else what the router has seen, which includes
// the wait at the VM.
func (m *member) runTime() time.Duration {
	if m.state.runTime > 0 {
		return m.state.runTime
	}
	return m.serviceTime
}

// hasAdapter tells whether the adapter with a hash is loaded; zero names none.
func (m *member) hasAdapter(hash uint64) bool { return hash == 0 || m.adapters.has(hash) }
