package routing

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/wire"
)

const (
	// initialServiceTime is assumed until a service time of the target has been
	// measured.
	initialServiceTime = time.Second
	// serviceTimeWeight is the weight of one request in the average service
	// time.
	serviceTimeWeight = 0.05
)

// Table maintains the candidates of each target and chooses among them. A
// choice takes time linear in the number of VMs that serve the target, regardless
// of other targets, and does not allocate once the scratch space has grown.
type Table struct {
	chooser *Chooser
	vms     map[ident.VM]*vmState
	members map[Target][]member
	scratch []Candidate
	regions map[ident.Region]ident.Region
}

// NewTable returns an empty Table that chooses with c.
func NewTable(c *Chooser) *Table {
	return &Table{
		chooser: c,
		vms:     make(map[ident.VM]*vmState),
		members: make(map[Target][]member),
		regions: make(map[ident.Region]ident.Region),
	}
}

// Report applies the report of an agent that was made age ago. It returns false
// for the report of a router, and for one that is not newer than the last one
// applied of the same incarnation.
func (t *Table) Report(now time.Time, r *wire.Report, age time.Duration) bool {
	if r.Role != metastore.RoleAgent {
		return false
	}
	s := t.vms[r.VM]
	if s != nil && s.incarnation == r.Incarnation && r.Seq <= s.seq {
		return false
	}
	if s == nil {
		s = &vmState{vm: r.VM, hash: hashVM(r.VM), targets: make(map[Target]struct{})}
		t.vms[r.VM] = s
	}
	s.applyReport(now, r, age)
	s.region = t.intern(r.Region)
	t.indexTargets(s, r)
	return true
}

// intern returns a shared copy of a region's name, so that comparisons are
// fast.
func (t *Table) intern(r ident.Region) ident.Region {
	if interned, ok := t.regions[r]; ok {
		return interned
	}
	t.regions[r] = r
	return r
}

// Remove deletes a VM that has left the membership.
func (t *Table) Remove(vm ident.VM) {
	s := t.vms[vm]
	if s == nil {
		return
	}
	for target := range s.targets {
		t.removeMember(target, s)
	}
	delete(t.vms, vm)
}

// RequestStarted records a request that the router has sent to a VM.
func (t *Table) RequestStarted(now time.Time, vm ident.VM, p ident.Priority) {
	if s := t.vms[vm]; s != nil {
		s.inFlight[priorityLevel(p)]++
		s.unreported[priorityLevel(p)]++
		s.netStarts[priorityLevel(p)].add(now, 1)
	}
}

// RequestEnded records the end of a request recorded by RequestStarted. duration
// is its time at the upstream, or zero if there was no complete response.
func (t *Table) RequestEnded(now time.Time, vm ident.VM, target Target, p ident.Priority, duration time.Duration) {
	s := t.vms[vm]
	if s == nil {
		return
	}
	s.inFlight[priorityLevel(p)] = max(0, s.inFlight[priorityLevel(p)]-1)
	s.unreported[priorityLevel(p)]--
	s.netStarts[priorityLevel(p)].add(now, -1)
	if duration <= 0 {
		return
	}
	if m := t.find(target, s); m != nil {
		m.measure(duration)
		m.measureSteady(now, duration)
	}
}

// Choose picks the VM for a request and returns it with the choice. It fails
// with a *NoCandidateError.
func (t *Table) Choose(now time.Time, l Lookup) (ident.VM, Choice, error) {
	members := t.members[l.Target]
	t.scratch = slices.Grow(t.scratch[:0], len(members))[:len(members)]
	adapter := hashAdapter(l.Adapter)
	assumed, utilization := assumedServiceTime(members), -1.0
	for i := range members {
		t.fill(now, &l, adapter, &members[i], &t.scratch[i])
		t.scratch[i].ServiceTime = members[i].runTime(assumed)
		if members[i].statesSlowness() {
			if utilization < 0 {
				utilization = meanUtilization(members)
			}
			members[i].fillSpeed(now, assumed, utilization, &t.scratch[i])
		}
	}
	ch, err := t.chooser.Choose(l.Request, t.scratch)
	if err != nil {
		return "", Choice{}, err
	}
	return t.scratch[ch.Index].VM, ch, nil
}

// Candidates returns the number of VMs that serve a target.
func (t *Table) Candidates(target Target) int { return len(t.members[target]) }

func (t *Table) fill(now time.Time, l *Lookup, adapter uint64, m *member, c *Candidate) {
	m.state.fillCandidate(now, l.Priority, c)
	c.AdapterLoaded = m.hasAdapter(adapter)
	c.PrefixLikely = l.Prefix != 0 && m.state.prefixes.has(l.Prefix)
	c.Ejected, c.Share = false, 0
	if l.Health != nil {
		h := l.Health(now, c.VM)
		c.Ejected, c.Share = h.Ejected, h.LoadShare
		c.Leaving = c.Leaving || h.Excluded
	}
}

// applyReport copies the fields of a report.
func (s *vmState) applyReport(now time.Time, r *wire.Report, age time.Duration) {
	s.incarnation, s.seq = r.Incarnation, r.Seq
	s.zone = r.Zone
	s.running, s.waiting, s.concurrency = r.Running, r.Waiting, r.Concurrency
	s.draining = r.Draining
	s.runTime = r.RunTime
	s.reportedAt = now.Add(-age)
	s.hasWaitingByLevel = len(r.WaitingByPriority) > 0
	s.waitingByLevel = [priorityLevels]int32{}
	for p, n := range r.WaitingByPriority {
		s.waitingByLevel[priorityLevel(ident.Priority(p))] += int32(n)
	}
	for i := range s.unreported {
		s.unreported[i] = 0
		if age > 0 {
			s.unreported[i] = s.netStarts[i].since(s.reportedAt)
		}
	}
	s.prefixes = append(s.prefixes[:0], r.PrefixHashes...).sorted()
}

// indexTargets makes s a member of exactly the targets in its report.
func (t *Table) indexTargets(s *vmState, r *wire.Report) {
	current := make(map[Target]struct{}, len(r.Models)+1)
	if len(r.Models) == 0 {
		current[Target{Upstream: r.Upstream}] = struct{}{}
	}
	for i := range r.Models {
		m := &r.Models[i]
		if m.Phase != engine.PhaseLoaded {
			continue
		}
		target := Target{Upstream: r.Upstream, Model: m.Model}
		current[target] = struct{}{}
		t.addMember(target, s, m.Adapters)
	}
	for target := range s.targets {
		if _, ok := current[target]; !ok {
			t.removeMember(target, s)
		}
	}
	if len(r.Models) == 0 {
		t.addMember(Target{Upstream: r.Upstream}, s, nil)
	}
}

func (t *Table) addMember(target Target, s *vmState, adapters []ident.Adapter) {
	m := t.member(target, s)
	m.adapters = m.adapters[:0]
	for _, a := range adapters {
		m.adapters = append(m.adapters, hashAdapter(a))
	}
	m.adapters = m.adapters.sorted()
}

func (t *Table) member(target Target, s *vmState) *member {
	if m := t.find(target, s); m != nil {
		return m
	}
	t.members[target] = append(t.members[target], member{state: s})
	s.targets[target] = struct{}{}
	return t.find(target, s)
}

// find returns the member of s, or nil. The pointer is valid until the members
// of the target change.
func (t *Table) find(target Target, s *vmState) *member {
	members := t.members[target]
	for i := range members {
		if members[i].state == s {
			return &members[i]
		}
	}
	return nil
}

func (t *Table) removeMember(target Target, s *vmState) {
	remaining := slices.DeleteFunc(t.members[target], func(m member) bool { return m.state == s })
	if len(remaining) == 0 {
		delete(t.members, target)
	} else {
		t.members[target] = remaining
	}
	delete(s.targets, target)
}
