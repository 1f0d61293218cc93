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
	// initialServiceTime stands for a service time that is not known yet.
	initialServiceTime = time.Second
	// serviceTimeWeight is the weight of one request in the average.
	serviceTimeWeight = 0.05
)

// Table keeps the candidates of each target and chooses among them. A choice
// costs time in proportion to the VMs that hold the target, whatever else the
// table holds, and allocates nothing once its scratch space has grown.
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

// Report takes the report of an agent that was made age ago. It returns false
// for a report of a router and for one that is older than what is known.
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
	s.take(now, r, age)
	s.region = t.intern(r.Region)
	t.index(s, r)
	return true
}

// intern keeps one copy of a region's name, which is quick to compare.
func (t *Table) intern(r ident.Region) ident.Region {
	if known, ok := t.regions[r]; ok {
		return known
	}
	t.regions[r] = r
	return r
}

// Remove forgets a VM that has left the membership.
func (t *Table) Remove(vm ident.VM) {
	s := t.vms[vm]
	if s == nil {
		return
	}
	for target := range s.targets {
		t.leave(target, s)
	}
	delete(t.vms, vm)
}

// RequestStarted counts a request that the router has sent to a VM.
func (t *Table) RequestStarted(now time.Time, vm ident.VM, p ident.Priority) {
	if s := t.vms[vm]; s != nil {
		s.inFlight[level(p)]++
		s.unseen[level(p)]++
		s.recent[level(p)].add(now, 1)
	}
}

// RequestEnded counts the end of a request that Started counted. Took is its time at
// the upstream, or zero if it gave no whole answer.
func (t *Table) RequestEnded(now time.Time, vm ident.VM, target Target, p ident.Priority, took time.Duration) {
	s := t.vms[vm]
	if s == nil {
		return
	}
	s.inFlight[level(p)] = max(0, s.inFlight[level(p)]-1)
	s.unseen[level(p)]--
	s.recent[level(p)].add(now, -1)
	if took <= 0 {
		return
	}
	if m := t.find(target, s); m != nil {
		m.serviceTime += time.Duration(float64(took-m.serviceTime) * serviceTimeWeight)
	}
}

// Choose picks the VM for a request and returns it with the choice. It fails
// with a *NoCandidateError.
func (t *Table) Choose(now time.Time, l Lookup) (ident.VM, Choice, error) {
	members := t.members[l.Target]
	t.scratch = slices.Grow(t.scratch[:0], len(members))[:len(members)]
	adapter := hashAdapter(l.Adapter)
	for i := range members {
		t.fill(now, &l, adapter, &members[i], &t.scratch[i])
	}
	ch, err := t.chooser.Choose(l.Request, t.scratch)
	if err != nil {
		return "", Choice{}, err
	}
	return t.scratch[ch.Index].VM, ch, nil
}

// Candidates counts the VMs that hold a target.
func (t *Table) Candidates(target Target) int { return len(t.members[target]) }

func (t *Table) fill(now time.Time, l *Lookup, adapter uint64, m *member, c *Candidate) {
	m.state.candidate(now, l.Priority, c)
	c.ServiceTime = m.runTime()
	c.AdapterLoaded = m.hasAdapter(adapter)
	c.PrefixLikely = l.Prefix != 0 && m.state.prefixes.has(l.Prefix)
	c.Ejected, c.Share = false, 0
	if l.Health != nil {
		h := l.Health(now, c.VM)
		c.Ejected, c.Share = h.Ejected, h.LoadShare
	}
}

// take copies the fields of a report.
func (s *vmState) take(now time.Time, r *wire.Report, age time.Duration) {
	s.incarnation, s.seq = r.Incarnation, r.Seq
	s.zone = r.Zone
	s.running, s.waiting, s.concurrency = r.Running, r.Waiting, r.Concurrency
	s.draining = r.Draining
	s.runTime = r.RunTime
	s.madeAt = now.Add(-age)
	s.byPriority = len(r.WaitingByPriority) > 0
	s.waitingBy = [levels]int32{}
	for p, n := range r.WaitingByPriority {
		s.waitingBy[level(ident.Priority(p))] += int32(n)
	}
	for i := range s.unseen {
		s.unseen[i] = 0
		if age > 0 {
			s.unseen[i] = s.recent[i].since(s.madeAt)
		}
	}
	s.prefixes = append(s.prefixes[:0], r.PrefixHashes...).sorted()
}

// index makes s a member of exactly the targets that its report names.
func (t *Table) index(s *vmState, r *wire.Report) {
	want := make(map[Target]struct{}, len(r.Models)+1)
	if len(r.Models) == 0 {
		want[Target{Upstream: r.Upstream}] = struct{}{}
	}
	for i := range r.Models {
		m := &r.Models[i]
		if m.Phase != engine.PhaseLoaded {
			continue
		}
		target := Target{Upstream: r.Upstream, Model: m.Model}
		want[target] = struct{}{}
		t.join(target, s, m.Adapters)
	}
	for target := range s.targets {
		if _, ok := want[target]; !ok {
			t.leave(target, s)
		}
	}
	if len(r.Models) == 0 {
		t.join(Target{Upstream: r.Upstream}, s, nil)
	}
}

func (t *Table) join(target Target, s *vmState, adapters []ident.Adapter) {
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
	t.members[target] = append(t.members[target], member{state: s, serviceTime: initialServiceTime})
	s.targets[target] = struct{}{}
	return t.find(target, s)
}

// find returns a member until the members of the target change.
func (t *Table) find(target Target, s *vmState) *member {
	members := t.members[target]
	for i := range members {
		if members[i].state == s {
			return &members[i]
		}
	}
	return nil
}

func (t *Table) leave(target Target, s *vmState) {
	left := slices.DeleteFunc(t.members[target], func(m member) bool { return m.state == s })
	if len(left) == 0 {
		delete(t.members, target)
	} else {
		t.members[target] = left
	}
	delete(s.targets, target)
}
