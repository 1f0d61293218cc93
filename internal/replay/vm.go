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
	w          *World
	id         ident.VM
	region     ident.Region
	freeMB     int64
	host, disk weightCache
	replicas   map[int]*replica
	policy     keepalive.Policy[ident.Model]
	adapters   keepalive.Policy[keepalive.AdapterKey]
}

// tier returns where the weights of a model are nearest.
func (v *vm) tier(m int) engine.Tier {
	switch {
	case v.host.has(m):
		return engine.TierMemory
	case v.disk.has(m):
		return engine.TierDisk
	}
	return engine.TierRemote
}

// candidate describes a model on the VM.
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

// receive takes a request and loads its model if need be.
func (v *vm) receive(q *request, now time.Time) {
	v.policy.Observe(v.w.models[q.Model].name, now)
	r := v.replicas[q.Model]
	if r == nil {
		r = v.start(q.Model, now)
	}
	q.cold = r.phase != engine.PhaseLoaded
	if r.prewarmed && r.phase == engine.PhaseLoaded {
		v.w.result.PrewarmHits++
		r.prewarmed = false
	}
	r.queue = append(r.queue, q)
	v.serve(r, now)
}

// withdraw takes a waiting request back.
func (v *vm) withdraw(q *request) {
	if r := v.replicas[q.Model]; r != nil {
		r.queue = slices.DeleteFunc(r.queue, func(o *request) bool { return o == q })
	}
}

// start begins to load a model, or waits for memory.
func (v *vm) start(m int, now time.Time) *replica {
	r := &replica{model: m, phase: engine.PhaseLoading, adapters: make(map[ident.Adapter]bool)}
	v.replicas[m] = r
	v.reserve(r, now)
	return r
}

// reserve makes room for a replica, by eviction of idle ones, and loads it.
func (v *vm) reserve(r *replica, now time.Time) {
	need := v.w.models[r.model].memoryMB
	begin := now
	if v.freeMB < need {
		if !v.evict(need, now) {
			return
		}
		begin = now.Add(unloadTime)
	}
	v.freeMB -= need
	r.reserved = true
	r.idleSince = now
	v.w.events.at(begin, func(at time.Time) { v.load(r, at) })
}

// evict unloads idle replicas until a size fits. It unloads none if it can't.
func (v *vm) evict(need int64, now time.Time) bool {
	room := v.freeMB
	names := make(map[ident.Model]*replica)
	var idle []ident.Model
	for _, m := range slices.Sorted(maps.Keys(v.replicas)) {
		if r := v.replicas[m]; r.idle() {
			name := v.w.models[m].name
			names[name] = r
			idle = append(idle, name)
			room += v.w.models[m].memoryMB
		}
	}
	if room < need {
		return false
	}
	for _, name := range v.policy.EvictOrder(idle, now) {
		if v.freeMB >= need {
			break
		}
		v.unload(names[name], now)
		v.w.count(now, &v.w.result.Evictions)
	}
	return true
}

// load loads the weights from the nearest tier.
func (v *vm) load(r *replica, now time.Time) {
	tier := v.tier(r.model)
	v.w.count(now, &v.w.result.Loads)
	v.w.result.Tiers[tier]++
	done := func(at time.Time) { v.loaded(r, tier, now, at) }
	if tier == engine.TierRemote {
		v.w.fetch(r, v, now, done)
		return
	}
	took := loadTimes[tier].duration(v.w.models[r.model].memoryMB)
	v.w.events.at(now.Add(scale(took, v.w.stall())), done)
}

// loaded ends a load.
func (v *vm) loaded(r *replica, tier engine.Tier, began, now time.Time) {
	m := v.w.models[r.model]
	r.phase = engine.PhaseLoaded
	r.lastUsed = now
	v.disk.put(r.model, v.w.models)
	for _, c := range v.w.choosers {
		c.ObserveLoad(m.name, v.id, tier, m.memoryMB, now.Sub(began))
	}
	if l, ok := v.policy.(learner); ok {
		l.ObserveLoad(m.name, now.Sub(began), now)
	}
	v.serve(r, now)
	if r.idle() {
		v.setTimer(r, now)
	}
}

// serve starts requests of a loaded replica.
func (v *vm) serve(r *replica, now time.Time) {
	for r.phase == engine.PhaseLoaded && len(r.queue) > 0 && r.running < concurrency {
		q := r.queue[0]
		r.queue = r.queue[1:]
		if q.over {
			continue
		}
		v.run(r, q, now)
	}
}

// run serves one request.
func (v *vm) run(r *replica, q *request, now time.Time) {
	if r.running == 0 {
		v.w.addIdle(r, now)
	}
	r.running++
	v.w.served(q, now)
	wait := v.loadAdapter(r, q, now)
	v.w.events.at(now.Add(q.Service+wait), func(at time.Time) { v.finish(r, at) })
}

// finish ends one request.
func (v *vm) finish(r *replica, now time.Time) {
	r.running--
	v.serve(r, now)
	if !r.idle() {
		return
	}
	r.idleSince, r.lastUsed = now, now
	v.setTimer(r, now)
	v.retry(now)
}

// setTimer unloads the replica when the policy says so, unless it is used.
func (v *vm) setTimer(r *replica, now time.Time) {
	until := v.policy.KeepUntil(v.w.models[r.model].name, now)
	v.w.events.at(until, func(at time.Time) {
		if v.replicas[r.model] == r && r.idle() && r.lastUsed.Equal(now) {
			v.unload(r, at)
			v.retry(at)
		}
	})
}

// unload frees the memory of an idle replica.
func (v *vm) unload(r *replica, now time.Time) {
	v.w.addIdle(r, now)
	v.freeMB += v.w.models[r.model].memoryMB
	v.host.put(r.model, v.w.models)
	delete(v.replicas, r.model)
}

// retry reserves memory for replicas that wait for it, most urgent first.
func (v *vm) retry(now time.Time) {
	var blocked []*replica
	for _, m := range slices.Sorted(maps.Keys(v.replicas)) {
		if r := v.replicas[m]; !r.reserved {
			blocked = append(blocked, r)
		}
	}
	slices.SortStableFunc(blocked, func(a, b *replica) int {
		return cmp.Compare(v.w.models[a.model].group.Priority, v.w.models[b.model].group.Priority)
	})
	for _, r := range blocked {
		v.reserve(r, now)
	}
}
