package placement

import (
	"iter"
	"time"

	"github.com/laureltally/laureltally/decay"
	"github.com/laureltally/laureltally/ident"
)

const (
	// unmetDemandHalfLife is the half-life of unmet demand: demand shifts between
	// models within about five seconds.
	unmetDemandHalfLife = 4 * time.Second
	// firstLoadValue is the assumed request rate, over all routers, of a model that no
	// VM has cached: models that nobody has asked for yet come after all others.
	firstLoadValue = 0.4
	// minUnmetDemand is the unmet demand per copy, in requests per second over all
	// routers, above which another load of a model is worthwhile: a load keeps its VM
	// from swapping models, about one a second, for several seconds.
	minUnmetDemand = 2
	// maxCopiesShare is the fraction of a service's VMs that may cache a model on demand,
	// and minMaxCopies a number that is allowed in any case, for VMs that fail.
	maxCopiesShare = 0.05
	minMaxCopies   = 4
	// waitingLoadValue is added to the value of a first load that a request waits for.
	waitingLoadValue = 1.2
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
	copies, vms := b.copies(service)
	routers := b.routersAtLeastOne(now)
	for i := range s.Engine.Models {
		name := s.Engine.Models[i].Name
		if m.readiness(name) != Remote {
			continue
		}
		if value := b.loadValue(name, copies[name], vms, firstLoadValue, routers*b.UnmetDemand(now, name)); value > bestValue {
			best, bestValue = name, value
		}
	}
	return best, bestValue
}

// RemoteLoadValue returns the value of a load that a request waits for. When many VMs
// need the same model at the same time, only some of them load it and the others keep
// serving their models.
func (b *Balancer) RemoteLoadValue(now time.Time, service ident.Upstream, name ident.Model) float64 {
	copies, vms := 0, 0
	for m := range b.activeMembers(service) {
		vms++
		if m.readiness(name) != Remote {
			copies++
		}
	}
	return b.loadValue(name, copies, vms, waitingLoadValue, b.routersAtLeastOne(now)*b.UnmetDemand(now, name))
}

// loadValue returns the value of caching a model on one more of the VMs, given the number
// that have it cached and the unmet demand over all routers. For a model that no VM has or
// is expected to load, first is added to the demand.
func (b *Balancer) loadValue(name ident.Model, copies, vms int, first, demand float64) float64 {
	copies += b.countExpectedLoads(name)
	if copies == 0 {
		return first + demand
	}
	if value := demand / float64(1+copies); copies < maxCopies(vms) && value > minUnmetDemand {
		return value
	}
	return 0
}

// maxCopies returns the number of VMs with cached weights of a model from which no
// further load is worthwhile, since any of them can load the model in about a second.
func maxCopies(vms int) int { return max(minMaxCopies, int(maxCopiesShare*float64(vms))) }

// routersAtLeastOne returns the number of routers that share the demand.
func (b *Balancer) routersAtLeastOne(now time.Time) float64 {
	return float64(max(1, b.Routers(now)))
}

// ExpectLoad records that the VM at an address is about to load a model. The load is
// expected until EndExpectedLoad is called with the returned id.
func (b *Balancer) ExpectLoad(name ident.Model, address string) ExpectedLoadID {
	b.lastExpectedLoad++
	b.expectedLoads[b.lastExpectedLoad] = expectedLoad{model: name, address: address}
	return b.lastExpectedLoad
}

// EndExpectedLoad ends an expected load, whether or not the model was loaded.
func (b *Balancer) EndExpectedLoad(id ExpectedLoadID) { delete(b.expectedLoads, id) }

// countExpectedLoads returns the number of VMs that are expected to load a model and
// that do not report it yet.
func (b *Balancer) countExpectedLoads(name ident.Model) int {
	n := 0
	for _, l := range b.expectedLoads {
		if l.model != name {
			continue
		}
		if m := b.members[b.byAddress[l.address]]; m == nil || m.readiness(name) == Remote {
			n++
		}
	}
	return n
}

// copies returns, for each model, the number of VMs that can serve it without the weight
// store, and the number of VMs.
func (b *Balancer) copies(service ident.Upstream) (copies map[ident.Model]int, vms int) {
	copies = make(map[ident.Model]int)
	for m := range b.activeMembers(service) {
		vms++
		for name := range m.models {
			if m.readiness(name) != Remote {
				copies[name]++
			}
		}
	}
	return copies, vms
}

// activeMembers yields the VMs of a service that are in use and not leaving.
func (b *Balancer) activeMembers(service ident.Upstream) iter.Seq[*member] {
	return func(yield func(*member) bool) {
		for _, m := range b.members {
			if m.vm.Service == service && !m.leaving() && !m.superseded && !yield(m) {
				return
			}
		}
	}
}
