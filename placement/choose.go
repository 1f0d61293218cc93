package placement

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/laureltally/laureltally/coldstart"
	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/routing"
	"github.com/laureltally/laureltally/serving"
)

// Choose picks the VM for a request. It fails with a *NoVMError. A request that will be sent
// without a reservation is taken from this router's share in the VM's limit.
func (b *Balancer) Choose(now time.Time, n Requirements) (Choice, error) {
	c, err := b.choose(now, n)
	if err == nil && (n.Model == "" || !c.AgentReachable) {
		b.TakeShare(now, c.VM.ID)
	}
	return c, err
}

func (b *Balancer) choose(now time.Time, n Requirements) (Choice, error) {
	loaded, found := b.chooseLoaded(now, n)
	if found && loaded.Wait == 0 || n.Model == "" {
		if !found {
			return Choice{}, b.noVMError(now, n)
		}
		return loaded, nil
	}
	b.addUnmetDemand(now, n.Model)
	other, ok := b.chooseToLoad(now, n)
	switch {
	case ok && (!found || other.Wait < loaded.Wait):
		return other, nil
	case found:
		return loaded, nil
	}
	return Choice{}, b.noVMError(now, n)
}

// noVMError returns the error of a request that no VM can accept. If all VMs that could
// serve it want no requests for now, or have got as many as they take, the caller is told
// when the first one does again.
func (b *Balancer) noVMError(now time.Time, n Requirements) error {
	e := &NoVMError{Service: n.Service, Software: n.Software, RetryAfter: b.opts.RetryAfter}
	paused, shortest := 0, time.Duration(0)
	for _, m := range b.members {
		if m.vm.Service != n.Service || n.Software != "" && n.Software != m.vm.Software {
			continue
		}
		e.Known++
		if left := max(m.instance.pausedUntil.Sub(now), b.limitWait(now, m, &n)); left > 0 && !m.leaving() {
			if paused == 0 || left < shortest {
				shortest = left
			}
			paused++
		}
	}
	if paused > 0 && paused == e.Known {
		e.RetryAfter = shortest
	}
	return e
}

// chooseLoaded picks among the VMs that have loaded the model, or that serve the
// plain service.
func (b *Balancer) chooseLoaded(now time.Time, n Requirements) (Choice, bool) {
	vm, ch, err := b.table.Choose(now, routing.Lookup{
		Request: routing.Request{
			Region: b.opts.Region, Zone: b.opts.Zone, Priority: n.Priority, Remaining: n.Remaining,
			Affinity: modelKey(n.Model), AllowCrossRegion: true,
		},
		Target:  routing.Target{Upstream: n.Service, Model: n.Model},
		Adapter: n.Adapter,
		Health:  func(now time.Time, vm ident.VM) routing.Health { return b.health(now, vm, &n) },
	})
	if err != nil {
		return Choice{}, false
	}
	m := b.members[vm]
	if m == nil {
		return Choice{}, false
	}
	wait := ch.Wait
	if ch.CrossRegion {
		wait = max(0, wait-2*b.linkDelay)
	}
	return b.choice(now, m, Loaded, wait), true
}

// modelKey returns an affinity key that makes all routers of a region fill the VMs of
// a model in the same order, each up to packShare of its concurrency. The VMs at the
// end of the order become idle and can unload the busy model, which makes room for
// rare models. Plain services have no key.
func modelKey(name ident.Model) uint64 {
	if name == "" {
		return 0
	}
	return xxhash.Sum64String(string(name)) | 1
}

func (b *Balancer) health(now time.Time, vm ident.VM, n *Requirements) routing.Health {
	m := b.members[vm]
	if m == nil || !m.usable(now) || !m.suits(n) || b.limitWait(now, m, n) > 0 {
		return routing.Health{Excluded: true}
	}
	s := b.detectors[m.vm.Service].Status(now, vm)
	h := routing.Health{Ejected: s.Blocked, LoadShare: s.LoadShare}
	if n.Model != "" && b.agentSilent(now, m) {
		h.Excluded = !m.bypass.allows(now)
		h.Ejected = h.Ejected || !m.bypass.confirmed(now)
	}
	return h
}

// chooseToLoad picks the VM that can load the model soonest. All routers break ties
// the same way, so that a burst at many routers causes one load.
func (b *Balancer) chooseToLoad(now time.Time, n Requirements) (Choice, bool) {
	service := b.services[n.Service]
	if service == nil || service.Engine == nil {
		return Choice{}, false
	}
	spec := service.Engine.Model(n.Model)
	if spec == nil {
		return Choice{}, false
	}
	var (
		best     *member
		bestCost time.Duration
	)
	for _, m := range b.members {
		if m.vm.Service != n.Service || !m.usable(now) || !m.fresh(now, b.opts.ReportTimeout) || !m.suits(&n) {
			continue
		}
		if b.detectors[n.Service].Status(now, m.vm.ID).Blocked || m.readiness(n.Model) == Loaded {
			continue
		}
		cost := b.loadCost(m, spec)
		if best == nil || cost < bestCost || cost == bestCost && b.rankedBefore(n.Model, m, best) {
			best, bestCost = m, cost
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return b.choice(now, best, best.readiness(n.Model), b.loadWait(best, spec)), true
}

func (b *Balancer) rankedBefore(model ident.Model, x, y *member) bool {
	return coldstart.Rank(model, ident.VM(x.vm.Address)) > coldstart.Rank(model, ident.VM(y.vm.Address))
}

// loadWait estimates the time until a VM would have the model loaded.
func (b *Balancer) loadWait(m *member, spec *serving.Model) time.Duration {
	switch m.readiness(spec.Name) {
	case Loading:
		return m.model(spec.Name).ReadyIn
	case Cached:
		return m.report.SwapWait + spec.LoadTime(m.model(spec.Name).Tier)
	}
	return m.report.RemoteLoadWait + spec.RemoteLoad
}

// loadCost is the cost by which VMs are compared.
func (b *Balancer) loadCost(m *member, spec *serving.Model) time.Duration {
	cost := b.loadWait(m, spec) + time.Duration(m.utilization()*float64(b.opts.LoadCost))
	if m.vm.Region != b.opts.Region {
		cost += 2 * b.linkDelay
	}
	return cost
}

func (b *Balancer) choice(now time.Time, m *member, r Readiness, wait time.Duration) Choice {
	c := Choice{VM: m.vm, Readiness: r, Wait: wait}
	if m.report != nil {
		c.ReportAge = now.Sub(m.reportedAt)
		c.AgentReachable = m.fresh(now, b.opts.ReportTimeout)
		c.AgentAddress = b.AgentAddress(m.vm)
	}
	return c
}

// AgentAddress returns the UDP address of the agent beside a VM, or an empty string
// if the VM's address is malformed.
func (b *Balancer) AgentAddress(vm *fleet.VM) string {
	host, err := netip.ParseAddrPort(vm.Address)
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(host.Addr(), b.opts.AgentPort).String()
}
