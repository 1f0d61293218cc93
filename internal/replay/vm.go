package replay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/laureltally/laureltally/coldstart"
	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/keepalive"
)

// vm is one engine with its agent.
type vm struct {
	sim        *Simulation
	id         ident.VM
	region     ident.Region
	freeMB     int64
	host, disk weightCache
	replicas   map[int]*replica
	policy     keepalive.Policy[ident.Model]
	adapters   keepalive.Policy[keepalive.AdapterKey]
}

// tier returns the fastest tier that has the weights of a model.
func (v *vm) tier(m int) engine.Tier {
	switch {
	case v.host.has(m):
		return engine.TierMemory
	case v.disk.has(m):
		return engine.TierDisk
	}
	return engine.TierRemote
}

// candidate describes the VM as a candidate for a model.
func (v *vm) candidate(m int) coldstart.Candidate {
	c := coldstart.Candidate{
		VM: v.id, Region: v.region, Zone: ident.Zone(v.region), Tier: v.tier(m),
		FreeMB: v.freeMB, Concurrency: concurrency, Reachable: true,
	}
	if r := v.replicas[m]; r != nil {
		c.Phase, c.Running, c.Waiting = r.phase, r.running, len(r.queue)
	}
	return c
}

// receive queues a request and starts to load its model if it is not loaded or
// loading.
func (v *vm) receive(q *request, now time.Time) {
	v.policy.Observe(v.sim.models[q.Model].name, now)
	r := v.replicas[q.Model]
	if r == nil {
		r = v.start(q.Model, now)
	}
	q.cold = r.phase != engine.PhaseLoaded
	if r.prewarmed && r.phase == engine.PhaseLoaded {
		v.sim.result.PrewarmHits++
		r.prewarmed = false
	}
	r.queue = append(r.queue, q)
	v.serve(r, now)
}

// removeWaiting removes a request from its replica's queue.
func (v *vm) removeWaiting(q *request) {
	if r := v.replicas[q.Model]; r != nil {
		r.queue = slices.DeleteFunc(r.queue, func(o *request) bool { return o == q })
	}
}

// start adds a replica and reserves its memory. The replica waits if there is too
// little.
func (v *vm) start(m int, now time.Time) *replica {
	r := &replica{model: m, phase: engine.PhaseLoading, adapters: make(map[ident.Adapter]bool)}
	v.replicas[m] = r
	v.reserve(r, now)
	return r
}

// reserve reserves memory for a replica, evicting idle ones if necessary, and
// starts its load. It does nothing if the memory does not suffice.
func (v *vm) reserve(r *replica, now time.Time) {
	requiredMB := v.sim.models[r.model].memoryMB
	begin := now
	if v.freeMB < requiredMB {
		if !v.evict(requiredMB, now) {
			return
		}
		begin = now.Add(unloadTime)
	}
	v.freeMB -= requiredMB
	r.reserved = true
	r.idleSince = now
	v.sim.events.at(begin, func(at time.Time) { v.load(r, at) })
}

// evict unloads idle replicas until requiredMB are free, and returns true. If that is
// impossible, it unloads none and returns false.
func (v *vm) evict(requiredMB int64, now time.Time) bool {
	availableMB := v.freeMB
	byName := make(map[ident.Model]*replica)
	var idle []ident.Model
	for _, m := range slices.Sorted(maps.Keys(v.replicas)) {
		if r := v.replicas[m]; r.idle() {
			name := v.sim.models[m].name
			byName[name] = r
			idle = append(idle, name)
			availableMB += v.sim.models[m].memoryMB
		}
	}
	if availableMB < requiredMB {
		return false
	}
	for _, name := range v.policy.EvictOrder(idle, now) {
		if v.freeMB >= requiredMB {
			break
		}
		v.unload(byName[name], now)
		v.sim.count(now, &v.sim.result.Evictions)
	}
	return true
}

// load loads the weights from the fastest tier that has them.
func (v *vm) load(r *replica, now time.Time) {
	tier := v.tier(r.model)
	v.sim.count(now, &v.sim.result.Loads)
	v.sim.result.Tiers[tier]++
	done := func(at time.Time) { v.loaded(r, tier, now, at) }
	if tier == engine.TierRemote {
		v.sim.loadRemote(r, v, now, done)
		return
	}
	took := loadTimes[tier].duration(v.sim.models[r.model].memoryMB)
	v.sim.events.at(now.Add(scale(took, v.sim.stall())), done)
}

// loaded completes the load of r from tier that started at the time began.
func (v *vm) loaded(r *replica, tier engine.Tier, began, now time.Time) {
	m := v.sim.models[r.model]
	r.phase = engine.PhaseLoaded
	r.lastUsed = now
	v.disk.put(r.model, v.sim.models)
	for _, c := range v.sim.choosers {
		c.ObserveLoad(m.name, v.id, tier, m.memoryMB, now.Sub(began))
	}
	if l, ok := v.policy.(loadObserver); ok {
		l.ObserveLoad(m.name, now.Sub(began), now)
	}
	v.serve(r, now)
	if r.idle() {
		v.scheduleUnload(r, now)
	}
}

// serve starts queued requests of a loaded replica up to its concurrency.
func (v *vm) serve(r *replica, now time.Time) {
	for r.phase == engine.PhaseLoaded && len(r.queue) > 0 && r.running < concurrency {
		q := r.queue[0]
		r.queue = r.queue[1:]
		if q.done {
			continue
		}
		v.run(r, q, now)
	}
}

// run serves one request.
func (v *vm) run(r *replica, q *request, now time.Time) {
	if r.running == 0 {
		v.sim.addIdle(r, now)
	}
	r.running++
	v.sim.served(q, now)
	wait := v.loadAdapter(r, q, now)
	v.sim.events.at(now.Add(q.Service+wait), func(at time.Time) { v.finish(r, at) })
}

// finish ends one request.
func (v *vm) finish(r *replica, now time.Time) {
	r.running--
	v.serve(r, now)
	if !r.idle() {
		return
	}
	r.idleSince, r.lastUsed = now, now
	v.scheduleUnload(r, now)
	v.reserveBlocked(now)
}

// scheduleUnload unloads the replica at the time that the policy sets, unless it is
// used before.
func (v *vm) scheduleUnload(r *replica, now time.Time) {
	until := v.policy.KeepUntil(v.sim.models[r.model].name, now)
	v.sim.events.at(until, func(at time.Time) {
		if v.replicas[r.model] == r && r.idle() && r.lastUsed.Equal(now) {
			v.unload(r, at)
			v.reserveBlocked(at)
		}
	})
}

// unload frees the memory of an idle replica.
func (v *vm) unload(r *replica, now time.Time) {
	v.sim.addIdle(r, now)
	v.freeMB += v.sim.models[r.model].memoryMB
	v.host.put(r.model, v.sim.models)
	delete(v.replicas, r.model)
}

// reserveBlocked reserves memory for the replicas that wait for it, the most urgent
// priority first.
func (v *vm) reserveBlocked(now time.Time) {
	var blocked []*replica
	for _, m := range slices.Sorted(maps.Keys(v.replicas)) {
		if r := v.replicas[m]; !r.reserved {
			blocked = append(blocked, r)
		}
	}
	slices.SortStableFunc(blocked, func(a, b *replica) int {
		return cmp.Compare(v.sim.models[a.model].group.Priority, v.sim.models[b.model].group.Priority)
	})
	for _, r := range blocked {
		v.reserve(r, now)
	}
}
