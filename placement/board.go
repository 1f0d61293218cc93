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
	"github.com/laureltally/laureltally/routing"
	"github.com/laureltally/laureltally/serving"
	"github.com/laureltally/laureltally/wire"
)

// blockTime is how long a VM whose address answers as another is left alone; its
// registration changes within about a second.
const blockTime = 2 * time.Second

// lackTime is how long a model that a VM said it lacks is left out of what its
// registration lists, which is renewed about each second.
const lackTime = 3 * time.Second

// packShare is the part of a VM's places that requests for a model fill before
// they go on to the next VM. Beyond it, first events at Muotiennuste take over half
// of the objective.
const packShare = 0.6

// silentConcurrency is the part of an engine's places that is used while its
// agent does not report how many it can serve in time.
const silentConcurrency = 0.2

// Balancer is the belief of one router.
type Balancer struct {
	opts    Options
	table   *routing.Table
	members map[ident.VM]*member
	// byAddress finds the VM of an agent's report.
	byAddress map[string]ident.VM
	ejectors  map[ident.Upstream]*outlier.Detector
	services  map[ident.Upstream]*serving.Service
	pressure  map[ident.Model]*decay.Rate
	// promised is until when a model counts as coming, once for each VM.
	promised map[ident.Model][]time.Time
}

// New returns an empty Board.
func New(o Options) (*Balancer, error) {
	o = o.withDefaults()
	chooser, err := routing.New(routing.Options{Rand: o.Rand, RegionDelay: o.LinkDelay, FreeShare: packShare})
	if err != nil {
		return nil, fmt.Errorf("chooser: %w", err)
	}
	return &Balancer{
		opts:      o,
		table:     routing.NewTable(chooser),
		members:   make(map[ident.VM]*member),
		byAddress: make(map[string]ident.VM),
		ejectors:  make(map[ident.Upstream]*outlier.Detector),
		services:  make(map[ident.Upstream]*serving.Service),
		pressure:  make(map[ident.Model]*decay.Rate),
		promised:  make(map[ident.Model][]time.Time),
	}, nil
}

// Configure takes the services of the configuration in force.
func (b *Balancer) Configure(services map[ident.Upstream]*serving.Service) { b.services = services }

// Apply takes changes of the roster.
func (b *Balancer) Apply(now time.Time, changes []fleet.Change) error {
	for _, c := range changes {
		old := b.members[c.VM.ID]
		if old != nil && (c.Kind == fleet.Removed || c.Kind == fleet.Restarted) {
			b.remove(old)
			old = nil
		}
		if c.Kind == fleet.Removed {
			continue
		}
		if old == nil {
			if err := b.add(c.VM); err != nil {
				return err
			}
			old = b.members[c.VM.ID]
		}
		old.vm = c.VM
		b.register(now, old)
	}
	return nil
}

func (b *Balancer) add(vm *fleet.VM) error {
	e := b.ejectors[vm.Service]
	if e == nil {
		var err error
		e, err = outlier.New(outlier.Options{Rand: b.opts.Rand})
		if err != nil {
			return fmt.Errorf("ejector: %w", err)
		}
		b.ejectors[vm.Service] = e
	}
	e.Add(vm.ID)
	b.members[vm.ID] = &member{vm: vm}
	b.byAddress[vm.Address] = vm.ID
	return nil
}

func (b *Balancer) remove(m *member) {
	b.table.Remove(m.vm.ID)
	b.ejectors[m.vm.Service].Remove(m.vm.ID)
	delete(b.members, m.vm.ID)
	if b.byAddress[m.vm.Address] == m.vm.ID {
		delete(b.byAddress, m.vm.Address)
	}
}

// register makes up a report from a registration, unless the agent reports
// itself.
func (b *Balancer) register(now time.Time, m *member) {
	if m.fresh(now, b.opts.ReportTimeout) {
		m.report.Draining = m.report.Draining || m.vm.Leaving
		b.publish(now, m, *m.report)
		return
	}
	r := wire.Report{Concurrency: m.vm.Concurrency}
	for _, name := range m.vm.Models {
		if m.lacks(now, name) {
			continue
		}
		r.Models = append(r.Models, wire.ModelReport{Model: name, Phase: engine.PhaseLoaded})
	}
	if len(r.Models) > 0 {
		r.Concurrency = max(1, int(silentConcurrency*float64(m.vm.Concurrency)))
	}
	b.publish(now, m, r)
}

// publish passes a report on to the table under the VM's id.
func (b *Balancer) publish(now time.Time, m *member, r wire.Report) {
	m.seq++
	r.VM, r.Upstream, r.Region, r.Zone = m.vm.ID, m.vm.Service, m.vm.Region, m.vm.Zone
	r.Role, r.Incarnation, r.Seq = metastore.RoleAgent, 1, m.seq
	r.Draining = r.Draining || m.vm.Leaving
	b.table.Report(now, &r, 0)
}

// Report takes the report, with all models, of the agent at an upstream address. It
// returns false if no such VM is registered.
func (b *Balancer) Report(now time.Time, address string, r *wire.Report) bool {
	m := b.members[b.byAddress[address]]
	if m == nil {
		return false
	}
	m.take(now, r)
	b.publish(now, m, *r)
	return true
}

// AgentDisconnected forgets an agent's report, since its connection has ended.
func (b *Balancer) AgentDisconnected(now time.Time, address string) {
	if m := b.members[b.byAddress[address]]; m != nil && m.report != nil {
		m.report, m.models = nil, nil
		b.register(now, m)
	}
}

// ReportLoad takes what a plain VM says of its load in an answer.
func (b *Balancer) ReportLoad(now time.Time, vm ident.VM, l serving.Load) {
	m := b.members[vm]
	if m == nil || len(m.vm.Models) > 0 || m.report != nil {
		return
	}
	b.publish(now, m, wire.Report{Running: l.Running, Waiting: l.Waiting, Concurrency: l.Concurrency})
}

// Block leaves a VM alone for a while, since its address answers as another VM.
func (b *Balancer) Block(now time.Time, vm ident.VM) {
	if m := b.members[vm]; m != nil {
		m.blocked = now.Add(blockTime)
	}
}

// ModelMissing notes that a VM answered that it does not hold a model. It answers
// engines that start anew before their sidecars: their registrations list what
// they held before, and every request would be sent to the first of them.
func (b *Balancer) ModelMissing(now time.Time, vm ident.VM, name ident.Model) {
	m := b.members[vm]
	if m == nil || m.fresh(now, b.opts.ReportTimeout) {
		return
	}
	if m.lacking == nil {
		m.lacking = make(map[ident.Model]time.Time)
	}
	m.lacking[name] = now.Add(lackTime)
	b.register(now, m)
}

// Usable tells whether a VM that was chosen earlier still takes new requests.
func (b *Balancer) Usable(now time.Time, vm *fleet.VM) bool {
	m := b.members[vm.ID]
	return m != nil && m.vm.SameInstance(vm) && m.usable(now)
}

// RequestStarted counts a request that is sent to a VM.
func (b *Balancer) RequestStarted(now time.Time, vm ident.VM, p ident.Priority) {
	m := b.members[vm]
	if m == nil {
		return
	}
	m.inFlight++
	b.table.RequestStarted(now, vm, p)
	b.ejectors[m.vm.Service].RequestStarted(now, vm)
}

// RequestEnded counts the end of a request that Started counted. Took is zero if it
// gave no whole answer. Ok is false only for failures that speak against the VM.
func (b *Balancer) RequestEnded(now time.Time, vm ident.VM, n Requirements, took time.Duration, ok bool) {
	m := b.members[vm]
	if m == nil {
		return
	}
	m.inFlight = max(0, m.inFlight-1)
	b.table.RequestEnded(now, vm, routing.Target{Upstream: n.Service, Model: n.Model}, n.Priority, took)
	b.ejectors[m.vm.Service].RequestEnded(now, vm, ok)
}
