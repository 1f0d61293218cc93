package routing

import "time"

// member is one VM as a candidate for one target.
type member struct {
	state *vmState
	// serviceTime is the average time of the requests measured by the router, and
	// measured their number.
	serviceTime time.Duration
	measured    int
	// steady is the average time where the VM states its slowness.
	steady steadyTime
	// adapters holds the hashes of the loaded adapters.
	adapters hashSet
}

// runTime returns the run time that the VM reports, or else the time measured
// by the router, which includes the wait at the VM. If there is neither, it is assumed.
func (m *member) runTime(assumed time.Duration) time.Duration {
	switch {
	case m.state.runTime > 0:
		return m.state.runTime
	case m.measured == 0:
		return assumed
	}
	return m.serviceTime
}

// measure takes the time of one request. The first requests count equally, later ones
// with serviceTimeWeight.
func (m *member) measure(took time.Duration) {
	m.measured++
	weight := max(serviceTimeWeight, 1/float64(m.measured))
	m.serviceTime += time.Duration(weight * float64(took-m.serviceTime))
}

// assumedServiceTime is the service time of the members without a measurement: the mean
// of the others, so that a VM that joins or restarts gets requests at once.
func assumedServiceTime(members []member) time.Duration {
	sum, n := time.Duration(0), 0
	for i := range members {
		if members[i].measured > 0 {
			sum += members[i].serviceTime
			n++
		}
	}
	if n == 0 {
		return initialServiceTime
	}
	return sum / time.Duration(n)
}

// hasAdapter reports whether the adapter with the hash is loaded. A zero hash,
// for no adapter, is always loaded.
func (m *member) hasAdapter(hash uint64) bool { return hash == 0 || m.adapters.has(hash) }
