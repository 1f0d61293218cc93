package router

import (
	"errors"
	"time"

	"github.com/laureltally/laureltally/coldstart"
	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/routing"
	"github.com/laureltally/laureltally/wire"
)

const (
	// noReplicaRetryAfter is the Retry-After while no VM can serve a request, and after
	// a VM was lost.
	noReplicaRetryAfter = 2 * time.Second
	// minRetryAfter is the minimum Retry-After of a refused request.
	minRetryAfter = 100 * time.Millisecond
)

// choose picks the agent for the next attempt of a request and counts the attempt as
// started. avoid holds the VMs that have refused or failed the request.
func (f *fleet) choose(req *Request, avoid map[ident.VM]bool) (target, *Failure) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.s.o.Now()
	if !req.IsModel() {
		return f.chooseLoadedLocked(now, req, routing.Target{Upstream: scoped(req.Environment, req.Upstream)}, avoid)
	}
	choice, failure := f.chooseSlotLocked(now, req, avoid)
	if failure != nil {
		return target{}, failure
	}
	route := routing.Target{Upstream: scoped(req.Environment, req.Upstream), Model: req.Target.Model.Name}
	if choice.Action == coldstart.Serve {
		if t, failure := f.chooseLoadedLocked(now, req, route, avoid); failure == nil {
			return t, nil
		}
	}
	return f.targetLocked(now, choice.VM, route, req.Priority), nil
}

func (f *fleet) chooseSlotLocked(now time.Time, req *Request, avoid map[ident.VM]bool) (coldstart.Choice, *Failure) {
	m := req.Target.Model
	q := coldstart.Query{
		Model:    scoped(req.Environment, m.Name),
		MemoryMB: m.MemoryMB + m.KVCacheMB,
		Now:      now,
		Deadline: req.Deadline,
	}
	for id, u := range f.byModel[q.Model] {
		if u.report == nil || u.listed.Upstream != req.Upstream {
			continue
		}
		r, _ := u.model(m.Name)
		q.Slots = append(q.Slots, coldstart.Slot{VM: id, Fence: r.Fence})
		q.Candidates = append(q.Candidates, f.candidateLocked(now, u, r, m.Concurrency, avoid))
	}
	choice, err := f.cold.Choose(q)
	if err != nil {
		return coldstart.Choice{}, noReplica(err)
	}
	if !choice.MeetsDeadline(now, req.Deadline) {
		return choice, tooLate(now, choice, req)
	}
	return choice, nil
}

func (f *fleet) candidateLocked(now time.Time, u *upstreamVM, r wire.ModelReport, concurrency int, avoid map[ident.VM]bool) coldstart.Candidate {
	var since time.Time
	if r.TierSince != 0 {
		since = time.UnixMilli(r.TierSince)
	}
	blocked := f.detectorLocked(u.listed.Upstream).Status(now, u.listed.ID).Blocked
	return coldstart.Candidate{
		VM:           u.listed.ID,
		Region:       u.listed.Region,
		Zone:         u.listed.Zone,
		Tier:         r.Tier,
		PreviousTier: r.PreviousTier,
		TierSince:    since,
		Phase:        r.Phase,
		FreeMB:       u.report.FreeMB,
		Running:      r.Running,
		Waiting:      r.Waiting,
		Concurrency:  concurrency,
		Reachable:    u.available() && !avoid[u.listed.ID] && !blocked && r.Phase != engine.PhaseUnloading,
	}
}

func noReplica(err error) *Failure {
	code := wire.CodeInternal
	var noSlot *coldstart.NoReachableVMError
	if errors.As(err, &noSlot) {
		code = wire.CodeNoReplica
	}
	f := notRun(code, "no VM that may serve the model can be reached")
	f.RetryAfter = noReplicaRetryAfter
	return f
}

// tooLate returns the failure of a request whose first token is expected after its
// deadline. RetryAfter is the time until the model should be loaded.
func tooLate(now time.Time, c coldstart.Choice, req *Request) *Failure {
	f := notRun(wire.CodeDeadline, "the first token is expected in %v, after the deadline in %v", c.FirstToken, req.Deadline.Sub(now))
	f.RetryAfter = max(c.FirstToken, minRetryAfter)
	return f
}

// chooseLoadedLocked picks among the VMs that currently serve the target.
func (f *fleet) chooseLoadedLocked(now time.Time, req *Request, route routing.Target, avoid map[ident.VM]bool) (target, *Failure) {
	id, _, err := f.table.Choose(now, routing.Lookup{
		Request: routing.Request{
			Region:           f.s.o.Settings.Region,
			Zone:             f.s.o.Settings.Zone,
			Priority:         req.Priority,
			Remaining:        remainingTime(now, req, avoid),
			Affinity:         req.PrefixHash,
			Exclude:          anyOf(avoid),
			AllowCrossRegion: true,
		},
		Target:  route,
		Adapter: req.Target.Adapter,
		Prefix:  req.PrefixHash,
		Health:  f.healthLocked,
	})
	if err != nil {
		failure := notRun(wire.CodeNoReplica, "no upstream of %s can be reached", req.Upstream)
		failure.RetryAfter = noReplicaRetryAfter
		return target{}, failure
	}
	u, ok := f.vms[id]
	if !ok || !u.available() || avoid[id] {
		failure := notRun(wire.CodeNoReplica, "no upstream of %s can be reached", req.Upstream)
		failure.RetryAfter = noReplicaRetryAfter
		return target{}, failure
	}
	return f.targetLocked(now, id, route, req.Priority), nil
}

// healthLocked returns the health of a VM according to its connection and to outlier
// detection.
func (f *fleet) healthLocked(now time.Time, id ident.VM) routing.Health {
	u, ok := f.vms[id]
	if !ok || !u.available() {
		return routing.Health{Ejected: true}
	}
	status := f.detectorLocked(u.listed.Upstream).Status(now, id)
	return routing.Health{Ejected: status.Blocked, LoadShare: status.LoadShare}
}

// remainingTime returns the time to the deadline, or zero if a VM has refused or failed
// the request: then the minimum gain suffices for the choice of another region.
func remainingTime(now time.Time, req *Request, avoid map[ident.VM]bool) time.Duration {
	if len(avoid) > 0 {
		return 0
	}
	return req.Deadline.Sub(now)
}

func anyOf(set map[ident.VM]bool) ident.VM {
	for id := range set {
		return id
	}
	return ""
}

// targetLocked counts an attempt at a VM as started and returns its target.
func (f *fleet) targetLocked(now time.Time, id ident.VM, route routing.Target, p ident.Priority) target {
	u := f.vms[id]
	f.table.RequestStarted(now, id, p)
	f.detectorLocked(u.listed.Upstream).RequestStarted(now, id)
	return target{
		vm:          id,
		address:     u.listed.Address,
		incarnation: u.report.Incarnation,
		upstream:    u.listed.Upstream,
		route:       route,
		started:     now,
		priority:    p,
	}
}

// ended counts the end of an attempt that choose counted as started.
func (f *fleet) ended(t target, failure *Failure) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.s.o.Now()
	took := now.Sub(t.started)
	if failure != nil {
		took = 0
	}
	f.table.RequestEnded(now, t.vm, t.route, t.priority, took)
	f.detectorLocked(t.upstream).RequestEnded(now, t.vm, !countsAsFailure(failure))
}

// countsAsFailure reports whether a failure counts against the VM in outlier detection.
// Refusals because of load or missing slots do not.
func countsAsFailure(failure *Failure) bool {
	if failure == nil {
		return false
	}
	switch failure.Code {
	case wire.CodeUpstreamFailed, wire.CodeUpstreamLost, wire.CodeInternal:
		return true
	default:
		return false
	}
}
