package placement

import (
	"fmt"
	"time"

	"github.com/laureltally/laureltally/decay"
	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/outlier"
	"github.com/laureltally/laureltally/requestlimit"
	"github.com/laureltally/laureltally/routing"
	"github.com/laureltally/laureltally/serving"
	"github.com/laureltally/laureltally/wire"
)

const (
	// blockIntervals is for how many registration intervals no requests are sent to a
	// VM whose address responded as a different VM: one until the next registration
	// and one until it is read.
	blockIntervals = 2
	// missingModelIntervals is for how many registration intervals a model that a VM
	// reported as not loaded is left out of the models in its registration. It is
	// longer, since a registration that was begun before may still arrive.
	missingModelIntervals = 3
	// delayWeight is the weight of one measurement in the moving average of the
	// latency between regions.
	delayWeight = 0.1
)

// packShare is the fraction of a VM's concurrency that requests for a model fill
// before the next VM is used: the rest is room for the requests of other models and for
// what other routers send before the next report. For other values see
// docs/design/load.md.
const packShare = 0.6

// fallbackConcurrencyShare is the fraction of an engine's concurrency that is used
// while its agent does not report how many requests it can serve in time.
const fallbackConcurrencyShare = 0.2

// Balancer is the load balancer state of one router.
type Balancer struct {
	opts    Options
	chooser *routing.Chooser
	table   *routing.Table
	members map[ident.VM]*member
	// linkDelay is the average one-way latency to agents in other regions.
	linkDelay time.Duration
	// instances holds the state of servers that said that they are leaving or paused,
	// and of the registered ones.
	instances map[instanceKey]*instance
	// byAddress maps the upstream address of an agent's report to its VM.
	byAddress   map[string]ident.VM
	detectors   map[ident.Upstream]*outlier.Detector
	services    map[ident.Upstream]*serving.Service
	unmetDemand map[ident.Model]*decay.Rate
	// expectedLoads holds the loads for which VMs hold permits.
	expectedLoads    map[ExpectedLoadID]expectedLoad
	lastExpectedLoad ExpectedLoadID
	// limits holds the limits on requests that servers have named, and lastRouters the
	// number of routers that agents last reported.
	limits      requestlimit.Board
	lastRouters int
}

// New returns a Balancer without VMs.
func New(o Options) (*Balancer, error) {
	o = o.withDefaults()
	chooser, err := routing.New(routing.Options{Rand: o.Rand, RegionDelay: o.LinkDelay, FreeShare: packShare})
	if err != nil {
		return nil, fmt.Errorf("chooser: %w", err)
	}
	return &Balancer{
		opts:          o,
		chooser:       chooser,
		linkDelay:     o.LinkDelay,
		table:         routing.NewTable(chooser),
		members:       make(map[ident.VM]*member),
		instances:     make(map[instanceKey]*instance),
		byAddress:     make(map[string]ident.VM),
		detectors:     make(map[ident.Upstream]*outlier.Detector),
		services:      make(map[ident.Upstream]*serving.Service),
		unmetDemand:   make(map[ident.Model]*decay.Rate),
		expectedLoads: make(map[ExpectedLoadID]expectedLoad),
		lastRouters:   assumedRouters,
	}, nil
}

// Configure sets the services of the current configuration.
func (b *Balancer) Configure(services map[ident.Upstream]*serving.Service) { b.services = services }

// Apply applies changes of the VM list.
func (b *Balancer) Apply(now time.Time, changes []fleet.Change) error {
	for _, c := range changes {
		m := b.members[c.VM.ID]
		var before *member
		if m != nil && (c.Kind == fleet.Removed || c.Kind == fleet.Restarted) {
			b.remove(now, m)
			before, m = m, nil
		}
		if c.Kind == fleet.Removed {
			continue
		}
		if m == nil {
			if err := b.add(c.VM); err != nil {
				return err
			}
			m = b.members[c.VM.ID]
			if before != nil {
				m.takeReport(before)
			}
		}
		m.vm = c.VM
		b.publishRegistration(now, m)
	}
	return nil
}

func (b *Balancer) add(vm *fleet.VM) error {
	detector := b.detectors[vm.Service]
	if detector == nil {
		var err error
		detector, err = outlier.New(outlier.Options{Rand: b.opts.Rand})
		if err != nil {
			return fmt.Errorf("outlier detector: %w", err)
		}
		b.detectors[vm.Service] = detector
	}
	detector.Add(vm.ID)
	m := &member{vm: vm, instance: b.instance(vm)}
	b.members[vm.ID] = m
	b.takeAddress(m)
	return nil
}

// takeAddress decides which of the VMs registered at one address is in use: after a
// restart under a new id, the list has the entry of the ended server for some seconds
// too. The agent stays, and its newest report holds for the new server.
func (b *Balancer) takeAddress(m *member) {
	other := b.members[b.byAddress[m.vm.Address]]
	if other == nil {
		b.byAddress[m.vm.Address] = m.vm.ID
		return
	}
	if other.vm.Started > m.vm.Started {
		m.superseded = true
		return
	}
	other.superseded = true
	b.byAddress[m.vm.Address] = m.vm.ID
	m.takeReport(other)
}

func (b *Balancer) remove(now time.Time, m *member) {
	if m.instance.unremarkable() {
		delete(b.instances, instanceKey{m.vm.ID, m.vm.Started})
	}
	b.table.Remove(m.vm.ID)
	b.detectors[m.vm.Service].Remove(m.vm.ID)
	delete(b.members, m.vm.ID)
	if b.byAddress[m.vm.Address] != m.vm.ID {
		return
	}
	delete(b.byAddress, m.vm.Address)
	for _, other := range b.members {
		if other.vm.Address == m.vm.Address {
			other.superseded = false
			b.takeAddress(other)
		}
	}
}

// publishRegistration updates the routing table from a VM's registration. A recent
// report of its agent is published again instead, as draining if the VM is leaving.
func (b *Balancer) publishRegistration(now time.Time, m *member) {
	if m.fresh(now, b.opts.ReportTimeout) {
		m.report.Draining = m.report.Draining || m.leaving()
		b.publish(now, m, *m.report)
		return
	}
	r := wire.Report{Concurrency: m.vm.Concurrency}
	for _, name := range m.vm.Models {
		if m.missing(now, name) {
			continue
		}
		r.Models = append(r.Models, wire.ModelReport{Model: name, Phase: engine.PhaseLoaded})
	}
	if len(r.Models) > 0 {
		r.Concurrency = max(1, int(fallbackConcurrencyShare*float64(m.vm.Concurrency)))
	}
	b.publish(now, m, r)
}

// publish passes a report on to the routing table under the VM's id.
func (b *Balancer) publish(now time.Time, m *member, r wire.Report) {
	m.seq++
	r.VM, r.Upstream, r.Region, r.Zone = m.vm.ID, m.vm.Service, m.vm.Region, m.vm.Zone
	r.Role, r.Incarnation, r.Seq = metastore.RoleAgent, 1, m.seq
	r.Draining = r.Draining || m.leaving()
	b.table.Report(now, &r, 0)
}

// Report takes a report with all models from the agent at an upstream address. It
// returns false if no VM is registered at that address.
func (b *Balancer) Report(now time.Time, address string, r *wire.Report) bool {
	m := b.members[b.byAddress[address]]
	if m == nil {
		return false
	}
	m.setReport(now, r)
	b.publish(now, m, *r)
	return true
}

// ObserveLoad takes the load that the agent at an upstream address stated in a reply. It
// updates the agent's report, which may be seconds old where many routers share the rate
// of reports.
func (b *Balancer) ObserveLoad(now time.Time, address string, l *wire.EngineLoad) {
	m := b.members[b.byAddress[address]]
	if m == nil || m.report == nil || l == nil {
		return
	}
	r := *m.report
	r.Running, r.Waiting, r.Concurrency = l.Running, l.Waiting, l.Concurrency
	r.SwapWait, r.RemoteLoadWait = l.SwapWait, l.RemoteLoadWait
	m.report = &r
	b.publish(now, m, r)
}

// ObserveRoundTrip takes the round-trip time of the connection to the agent at an
// upstream address.
func (b *Balancer) ObserveRoundTrip(address string, rtt time.Duration) {
	m := b.members[b.byAddress[address]]
	if m == nil || rtt <= 0 || m.vm.Region == b.opts.Region {
		return
	}
	b.linkDelay += time.Duration(delayWeight * float64(rtt/2-b.linkDelay))
	b.chooser.SetRegionDelay(b.linkDelay)
}

// Routers returns the number of routers that share the VMs, as far as agents report it,
// or zero. While some links are down, the agent with the most routers knows best.
func (b *Balancer) Routers(now time.Time) int {
	n := 0
	for _, m := range b.members {
		if m.fresh(now, b.opts.ReportTimeout) {
			n = max(n, m.report.Routers)
		}
	}
	return n
}

// AgentLost discards the report of an agent whose connection has ended or that has not
// replied, until its next report.
func (b *Balancer) AgentLost(now time.Time, address string) {
	if m := b.members[b.byAddress[address]]; m != nil && m.report != nil {
		m.report, m.models = nil, nil
		b.publishRegistration(now, m)
	}
}

// ReportLoad takes the load that a plain VM reported in a response.
func (b *Balancer) ReportLoad(now time.Time, vm ident.VM, l serving.Load) {
	m := b.members[vm]
	if m == nil || len(m.vm.Models) > 0 || m.report != nil {
		return
	}
	b.publish(now, m, wire.Report{Running: l.Running, Waiting: l.Waiting, Concurrency: l.Concurrency})
	b.table.ObserveSlowness(now, vm, l.Slowness)
}

// Block stops sending requests to a VM for some registration intervals, since its
// address responded as a different VM.
func (b *Balancer) Block(now time.Time, vm ident.VM) {
	if m := b.members[vm]; m != nil {
		m.blockedUntil = now.Add(blockIntervals * b.opts.RegistrationInterval)
	}
}

// ModelMissing records that a VM responded that it has not loaded a model. It handles
// engines that restart before their agents: their registrations still list the models
// loaded before the restart, and every request would be sent to the first such VM.
func (b *Balancer) ModelMissing(now time.Time, vm ident.VM, name ident.Model) {
	m := b.members[vm]
	if m == nil || m.fresh(now, b.opts.ReportTimeout) {
		return
	}
	if m.missingModels == nil {
		m.missingModels = make(map[ident.Model]time.Time)
	}
	m.missingModels[name] = now.Add(missingModelIntervals * b.opts.RegistrationInterval)
	if m.countMissing(now) > 1 {
		// It is not one model that has been unloaded meanwhile.
		b.Block(now, vm)
	}
	b.publishRegistration(now, m)
}

// InUse reports whether no newer VM is registered at the address of a VM.
func (b *Balancer) InUse(vm ident.VM) bool {
	m := b.members[vm]
	return m != nil && !m.superseded
}

// Usable reports whether a VM chosen earlier still accepts new requests.
func (b *Balancer) Usable(now time.Time, vm *fleet.VM) bool {
	m := b.members[vm.ID]
	return m != nil && m.vm.SameInstance(vm) && m.usable(now)
}

// Staying reports whether a VM is listed and has not announced that it stops.
func (b *Balancer) Staying(vm *fleet.VM) bool {
	m := b.members[vm.ID]
	return m != nil && m.vm.SameInstance(vm) && !m.leaving()
}

// RequestStarted counts a request that is sent to a VM.
func (b *Balancer) RequestStarted(now time.Time, vm ident.VM, p ident.Priority) {
	m := b.members[vm]
	if m == nil {
		return
	}
	m.inFlight++
	b.table.RequestStarted(now, vm, p)
	b.detectors[m.vm.Service].RequestStarted(now, vm)
}

// RequestEnded counts the end of a request that RequestStarted counted. Took is zero
// if there was no complete response. Ok is false only for failures caused by the VM.
func (b *Balancer) RequestEnded(now time.Time, vm ident.VM, n Requirements, took time.Duration, ok bool) {
	m := b.members[vm]
	if m == nil {
		return
	}
	m.inFlight = max(0, m.inFlight-1)
	b.table.RequestEnded(now, vm, routing.Target{Upstream: n.Service, Model: n.Model}, n.Priority, took)
	b.detectors[m.vm.Service].RequestEnded(now, vm, ok)
}
