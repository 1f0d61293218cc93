package placement

import (
	"iter"
	"time"

	"github.com/laureltally/laureltally/decay"
	"github.com/laureltally/laureltally/ident"
)

const (
	// expectedLoadTTL is how long a load is expected after a VM was given a permit
	// for it; the VM's report shows the load well before that.
	expectedLoadTTL = 20 * time.Second
	// unmetDemandHalfLife is the half-life of unmet demand: demand shifts between
	// models within about five seconds.
	unmetDemandHalfLife = 4 * time.Second
	// firstLoadValue is the assumed request rate of a model that no VM has cached;
	// rare models are requested about that often.
	firstLoadValue = 0.1
	// minUnmetDemand is the unmet demand per VM above which another load of the model
	// is worthwhile: a load keeps its VM from swapping models for several seconds.
	minUnmetDemand = 0.5
	// maxCachedVMs is the number of VMs with cached weights from which no further
	// load is worthwhile, since any of them can load the model in about a second.
	maxCachedVMs = 4
	// waitingLoadValue is added to the value of a first load that a request waits for.
	waitingLoadValue = 0.3
)

// addUnmetDemand counts a request for which no VM with the model loaded was free.
func (b *Balancer) addUnmetDemand(now time.Time, name ident.Model) {
	r := b.unmetDemand[name]
	if r == nil {
		r = &decay.Rate{}
		b.unmetDemand[name] = r
	}
	r.Add(now, unmetDemandHalfLife)
}

// UnmetDemand returns the rate of requests for a model, per second, for which no VM
// with the model loaded was free.
func (b *Balancer) UnmetDemand(now time.Time, name ident.Model) float64 {
	if r := b.unmetDemand[name]; r != nil {
		return r.Get(now, unmetDemandHalfLife)
	}
	return 0
}

// NextRemoteLoad returns the model whose load from the weight store onto a VM has the
// highest value, and that value, or an empty name. It covers two cases: the first
// minutes, in which most models have never been loaded, and demand that moves to a
// model which too few VMs have. The value of a model that the VM lacks is its unmet
// demand divided by one more than the number of VMs that have it cached or are
// expected to load it.
func (b *Balancer) NextRemoteLoad(now time.Time, service ident.Upstream, address string) (ident.Model, float64) {
	s := b.services[service]
	m := b.members[b.byAddress[address]]
	if s == nil || s.Engine == nil || m == nil {
		return "", 0
	}
	var (
		best      ident.Model
		bestValue float64
	)
	cachedCounts := b.cachedCounts(service)
	for i := range s.Engine.Models {
		name := s.Engine.Models[i].Name
		if m.readiness(name) != Remote {
			continue
		}
		if value := b.loadValue(now, name, cachedCounts[name], firstLoadValue); value > bestValue {
			best, bestValue = name, value
		}
	}
	return best, bestValue
}

// RemoteLoadValue returns the value of a load that a request waits for. When many VMs
// need the same model at the same time, only some of them load it and the others keep
// serving their models.
func (b *Balancer) RemoteLoadValue(now time.Time, service ident.Upstream, name ident.Model) float64 {
	cached := 0
	for m := range b.activeMembers(service) {
		if m.readiness(name) != Remote {
			cached++
		}
	}
	return b.loadValue(now, name, cached, waitingLoadValue)
}

// loadValue returns the value of caching a model on one more VM, given the number of
// VMs that have it cached. For a model that no VM has or is expected to load, first
// is added to its unmet demand.
func (b *Balancer) loadValue(now time.Time, name ident.Model, cached int, first float64) float64 {
	// An expected load that has become visible in a report is counted twice for a
	// while, which only delays a further load.
	demand, vms := b.UnmetDemand(now, name), cached+b.countExpectedLoads(now, name)
	if vms == 0 {
		return first + demand
	}
	if value := demand / float64(1+vms); vms < maxCachedVMs && value > minUnmetDemand {
		return value
	}
	return 0
}

// ExpectLoad records that a VM is about to load a model.
func (b *Balancer) ExpectLoad(now time.Time, name ident.Model) {
	kept := b.expectedLoads[name][:0]
	for _, until := range b.expectedLoads[name] {
		if now.Before(until) {
			kept = append(kept, until)
		}
	}
	b.expectedLoads[name] = append(kept, now.Add(expectedLoadTTL))
}

// countExpectedLoads returns the number of VMs that are expected to load a model.
func (b *Balancer) countExpectedLoads(now time.Time, name ident.Model) int {
	n := 0
	for _, until := range b.expectedLoads[name] {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// cachedCounts returns, for each model, the number of VMs that can serve it without
// the weight store.
func (b *Balancer) cachedCounts(service ident.Upstream) map[ident.Model]int {
	cachedCounts := make(map[ident.Model]int)
	for m := range b.activeMembers(service) {
		for name := range m.models {
			if m.readiness(name) != Remote {
				cachedCounts[name]++
			}
		}
	}
	return cachedCounts
}

// activeMembers yields the VMs of a service that are not leaving.
func (b *Balancer) activeMembers(service ident.Upstream) iter.Seq[*member] {
	return func(yield func(*member) bool) {
		for _, m := range b.members {
			if m.vm.Service == service && !m.vm.Leaving && !yield(m) {
				return
			}
		}
	}
}
