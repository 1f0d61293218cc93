package replay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/laureltally/laureltally/coldstart"
	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/loadlimit"
)

// World is the state of one replay.
type World struct {
	d        Deployment
	o        Options
	rand     *rand.Rand
	stalls   *rand.Rand
	models   []model
	numbers  map[ident.Model]int
	vms      []*vm
	store    *weightStore
	choosers map[ident.Region]*coldstart.Chooser
	views    map[viewKey]view
	events   events
	last     map[int]time.Time
	// measured is when the figures begin.
	measured time.Time
	end      time.Time
	result   Result
}

// viewKey names what one router knows of one model.
type viewKey struct {
	region ident.Region
	model  int
}

// view is what a router knew of a model at a time.
type view struct {
	at         time.Time
	candidates []coldstart.Candidate
}

const (
	// viewAge is how old a router's view may be.
	viewAge = time.Second
	// meanService is the time of one request that the routers reckon with.
	meanService = 5 * time.Second
	// cachedShare is the chance that a VM has the weights of a slot's model on
	// disk at the start.
	cachedShare = 0.5
)

// start is the first day, a Monday.
var start = time.Date(2026, 2, 2, 0, 0, 0, 0, time.UTC)

// Run replays arrivals and returns the figures. It fails with the error of a
// package that refuses the deployment.
func Run(o Options) (*Result, error) {
	w, err := newWorld(o)
	if err != nil {
		return nil, fmt.Errorf("replay: %w", err)
	}
	r := rand.New(rand.NewPCG(o.Seed, 1))
	for _, a := range drawArrivals(w.d, w.models, start, o.Days, r) {
		if a.At.After(start) {
			w.events.at(a.At, func(now time.Time) { w.arrive(a, now) })
		}
	}
	w.events.run(w.end)
	for _, v := range w.vms {
		for _, r := range v.replicas {
			if r.idle() {
				w.addIdle(r, w.end)
			}
		}
	}
	return &w.result, nil
}

func newWorld(o Options) (*World, error) {
	d := o.Deployment
	w := &World{
		d: d, o: o, rand: rand.New(rand.NewPCG(o.Seed, 0)),
		numbers:  make(map[ident.Model]int),
		choosers: make(map[ident.Region]*coldstart.Chooser),
		views:    make(map[viewKey]view),
		last:     make(map[int]time.Time),
		measured: start.AddDate(0, 0, o.WarmupDays),
		end:      start.AddDate(0, 0, o.Days),
		result:   Result{Tiers: make(map[engine.Tier]int), ByPriority: make(map[ident.Priority][]time.Duration)},
		stalls:   rand.New(rand.NewPCG(o.Seed, stallStream)),
	}
	w.models = drawModels(d, w.rand)
	for i, m := range w.models {
		w.numbers[m.name] = i
	}
	g, err := loadlimit.New(loadlimit.Config{Store: d.Store})
	if err != nil {
		return nil, err
	}
	w.store = &weightStore{
		gate: g, parallel: d.Store.ParallelLoads, slowdown: max(1, o.Slowdown),
		granted: make(map[loadlimit.PermitID]func(time.Time)),
	}
	for _, r := range d.Regions {
		c, err := coldstart.New(coldstart.Config{Region: r, Zone: ident.Zone(r)})
		if err != nil {
			return nil, err
		}
		w.choosers[r] = c
	}
	w.addVMs()
	return w, nil
}

func (w *World) addVMs() {
	for i := range w.d.Replicas {
		v := &vm{
			w: w, id: ident.VM(fmt.Sprint("vm-", i)), region: w.d.Regions[i%len(w.d.Regions)],
			freeMB: w.d.MemoryMB, host: weightCache{freeMB: w.d.HostMB}, disk: weightCache{freeMB: w.d.DiskMB},
			replicas: make(map[int]*replica),
			policy:   w.o.Policies.Models(w.share), adapters: w.o.Policies.Adapters(),
		}
		w.vms = append(w.vms, v)
		if p, ok := v.policy.(prewarmer); ok {
			w.events.at(start, func(now time.Time) { v.prewarmLoop(p, now) })
		}
	}
	for i, m := range w.models {
		for _, s := range m.slots {
			if w.rand.Float64() < cachedShare {
				w.vms[s].disk.put(i, w.models)
			}
		}
	}
}

// arrive routes one request.
func (w *World) arrive(a Arrival, now time.Time) {
	q := &request{Arrival: a, deadline: now.Add(w.models[a.Model].group.Deadline)}
	w.route(q, now)
	w.events.at(q.deadline, func(at time.Time) { w.refuse(q, at) })
}

// route sends a request where the router of its region decides.
func (w *World) route(q *request, now time.Time) {
	m := w.models[q.Model]
	query := coldstart.Query{
		Model: m.name, MemoryMB: m.memoryMB, Candidates: w.view(q.Region, q.Model, now),
		ServiceTime: meanService, Now: now, Deadline: q.deadline,
	}
	for _, s := range m.slots {
		query.Slots = append(query.Slots, coldstart.Slot{VM: w.vms[s].id, Fence: 1})
	}
	choice, err := w.choosers[q.Region].Choose(query)
	if err != nil || q.vm == nil && !choice.MeetsDeadline(now, q.deadline) {
		w.refuse(q, now)
		return
	}
	for _, s := range m.slots {
		if v := w.vms[s]; v.id == choice.VM {
			if v.region != q.Region {
				q.hop = 2 * coldstart.DefaultRegionDelay
			}
			w.send(q, v, now)
		}
	}
	if choice.Action != coldstart.Serve && !w.o.NoReroute {
		due := choice.Recheck
		if due.Before(now) {
			due = now
		}
		w.events.at(due.Add(viewAge), func(at time.Time) { w.recheck(q, at) })
	}
}

// send moves a request to a VM, unless it waits there already.
func (w *World) send(q *request, v *vm, now time.Time) {
	if q.vm == v {
		return
	}
	if q.vm != nil {
		q.vm.withdraw(q)
	}
	q.vm = v
	v.receive(q, now)
}

// recheck routes a request again that still waits for a load.
func (w *World) recheck(q *request, now time.Time) {
	if !q.over {
		w.route(q, now)
	}
}

// view returns what a router knows of a model.
func (w *World) view(r ident.Region, m int, now time.Time) []coldstart.Candidate {
	key := viewKey{region: r, model: m}
	v, ok := w.views[key]
	if ok && now.Sub(v.at) < viewAge {
		return v.candidates
	}
	v = view{at: now}
	for _, s := range w.models[m].slots {
		v.candidates = append(v.candidates, w.vms[s].candidate(m))
	}
	w.views[key] = v
	return v.candidates
}

// served records that a request met a loaded model.
func (w *World) served(q *request, now time.Time) {
	q.over = true
	var took time.Duration
	if q.cold {
		took = now.Sub(q.At) + q.hop
	}
	w.record(q, took)
}

// refuse records that a request was refused, unless it was served.
func (w *World) refuse(q *request, now time.Time) {
	if q.over {
		return
	}
	q.over = true
	w.count(now, &w.result.Refusals)
	w.record(q, q.deadline.Sub(q.At))
}

func (w *World) record(q *request, took time.Duration) {
	idle := q.At.Sub(w.last[q.Model])
	w.last[q.Model] = q.At
	if q.At.Before(w.measured) {
		return
	}
	w.result.Cold = append(w.result.Cold, took)
	p := w.models[q.Model].group.Priority
	w.result.ByPriority[p] = append(w.result.ByPriority[p], took)
	if took > 0 && w.o.Trace != nil {
		w.o.Trace(ColdRequest{At: q.At, Group: w.models[q.Model].group.Name, Model: q.Model, Idle: idle, Took: took})
	}
}

// addIdle adds the idle time of a replica that ends now.
func (w *World) addIdle(r *replica, now time.Time) {
	from := r.idleSince
	if from.Before(w.measured) {
		from = w.measured
	}
	if now.After(from) {
		share := float64(w.models[r.model].memoryMB) / float64(w.d.MemoryMB)
		w.result.IdleHours += now.Sub(from).Hours() * share
	}
	r.idleSince = now
}

// count adds one to a figure, once figures are taken.
func (w *World) count(now time.Time, n *int) {
	if !now.Before(w.measured) {
		*n++
	}
}

// share returns the share of an accelerator that a model takes.
func (w *World) share(m ident.Model) float64 {
	return float64(w.models[w.numbers[m]].memoryMB) / float64(w.d.MemoryMB)
}

const (
	// stallFactor is how many times as long a stalled load takes.
	stallFactor = 20
	// stallStream separates the draws of stalls from all others.
	stallStream = 2
)

// stall returns the factor of one load time.
func (w *World) stall() float64 {
	if w.stalls.Float64() < w.o.StallShare {
		return stallFactor
	}
	return 1
}
