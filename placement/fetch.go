package placement

import (
	"iter"
	"time"

	"github.com/laureltally/laureltally/decay"
	"github.com/laureltally/laureltally/ident"
)

const (
	// promiseTime is how long a model counts as coming after a VM was told to load
	// it; its report shows the load well before.
	promiseTime = 20 * time.Second
	// pressureHalfLife is how quickly requests count less that found no free VM with
	// their model loaded: demand moves on within some five seconds.
	pressureHalfLife = 4 * time.Second
	// firstLoadWorth stands for the requests a second that a model may get which no
	// VM has at hand; rare models are asked for about so often.
	firstLoadWorth = 0.1
	// leastPressure is the pressure for each VM from which a model is worth one more:
	// a load keeps its VM from swapping models for some seconds.
	leastPressure = 0.5
	// enoughNear is how many VMs that have the weights at hand are enough, since any
	// of them can load the model in about a second.
	enoughNear = 4
	// waitingWorth is added for a request that waits for the load.
	waitingWorth = 0.3
)

// pressed notes a request that found no free VM with its model loaded.
func (b *Balancer) pressed(now time.Time, name ident.Model) {
	r := b.pressure[name]
	if r == nil {
		r = &decay.Rate{}
		b.pressure[name] = r
	}
	r.Add(now, pressureHalfLife)
}

// Pressure is how many requests a second for a model found no free VM that has
// it loaded.
func (b *Balancer) Pressure(now time.Time, name ident.Model) float64 {
	if r := b.pressure[name]; r != nil {
		return r.Get(now, pressureHalfLife)
	}
	return 0
}

// NextRemoteLoad names the model that is most worth loading from the weight store
// onto a VM next, with its worth, or is empty. It answers two patterns: the first
// minutes, in which most models have never been loaded, and demand that moves to
// a model which too few VMs have. Of the models that the VM lacks, the one counts
// most whose requests find no free VM, divided by the VMs that have it at hand or
// are about to.
func (b *Balancer) NextRemoteLoad(now time.Time, service ident.Upstream, address string) (ident.Model, float64) {
	s := b.services[service]
	m := b.members[b.byAddress[address]]
	if s == nil || s.Engine == nil || m == nil {
		return "", 0
	}
	var (
		best ident.Model
		most float64
	)
	held := b.held(service)
	for i := range s.Engine.Models {
		name := s.Engine.Models[i].Name
		if m.readiness(name) != Remote {
			continue
		}
		if w := b.loadWorth(now, name, held[name], firstLoadWorth); w > most {
			best, most = name, w
		}
	}
	return best, most
}

// RemoteLoadValue is the worth of a load that a request waits for. It answers many VMs
// that are asked for one model at the same time: once some of them load it, the
// others keep serving what they have.
func (b *Balancer) RemoteLoadValue(now time.Time, service ident.Upstream, name ident.Model) float64 {
	held := 0
	for m := range b.staying(service) {
		if m.readiness(name) != Remote {
			held++
		}
	}
	return b.loadWorth(now, name, held, waitingWorth)
}

// loadWorth is the worth of one more VM with a model at hand, which held VMs have;
// first is added for a model that none has or is about to load.
func (b *Balancer) loadWorth(now time.Time, name ident.Model, held int, first float64) float64 {
	// A promise that has become a load is counted twice for a while; that only
	// delays one more.
	pressure, near := b.Pressure(now, name), held+b.coming(now, name)
	if near == 0 {
		return first + pressure
	}
	if w := pressure / float64(1+near); near < enoughNear && w > leastPressure {
		return w
	}
	return 0
}

// ExpectLoad notes that a VM is about to load a model.
func (b *Balancer) ExpectLoad(now time.Time, name ident.Model) {
	kept := b.promised[name][:0]
	for _, until := range b.promised[name] {
		if now.Before(until) {
			kept = append(kept, until)
		}
	}
	b.promised[name] = append(kept, now.Add(promiseTime))
}

// coming counts the VMs that are about to load a model.
func (b *Balancer) coming(now time.Time, name ident.Model) int {
	n := 0
	for _, until := range b.promised[name] {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// held counts, for each model, the VMs that can serve it without the weight store.
func (b *Balancer) held(service ident.Upstream) map[ident.Model]int {
	held := make(map[ident.Model]int)
	for m := range b.staying(service) {
		for name := range m.models {
			if m.readiness(name) != Remote {
				held[name]++
			}
		}
	}
	return held
}

// staying yields the VMs of a service that are not leaving.
func (b *Balancer) staying(service ident.Upstream) iter.Seq[*member] {
	return func(yield func(*member) bool) {
		for _, m := range b.members {
			if m.vm.Service == service && !m.vm.Leaving && !yield(m) {
				return
			}
		}
	}
}
