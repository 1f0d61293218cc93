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

// Simulation is the state of one replay.
type Simulation struct {
	d           Deployment
	o           Options
	rand        *rand.Rand
	stalls      *rand.Rand
	models      []model
	modelIndex  map[ident.Model]int
	vms         []*vm
	store       *weightStore
	choosers    map[ident.Region]*coldstart.Chooser
	views       map[viewKey]view
	events      events
	lastArrival map[int]time.Time
	// measureFrom is when the measurement begins.
	measureFrom time.Time
	end         time.Time
	result      Result
}

// viewKey identifies the view that the router of a region has of a model.
type viewKey struct {
	region ident.Region
	model  int
}

// view holds the candidates for a model as a router saw them at a time.
type view struct {
	at         time.Time
	candidates []coldstart.Candidate
}

const (
	// maxViewAge is the largest age of a router's view.
	maxViewAge = time.Second
	// meanServiceTime is the service time of one request that the routers assume.
	meanServiceTime = 5 * time.Second
	// cachedShare is the probability that a VM has the weights of a model on disk
	// at the start, if it holds a slot of the model.
	cachedShare = 0.5
)

// start is the first moment of the replay, on a Monday.
var start = time.Date(2026, 2, 2, 0, 0, 0, 0, time.UTC)

// Run replays random arrivals and returns the figures. It fails if the load limiter
// or the cold-start chooser rejects the settings of the deployment.
func Run(o Options) (*Result, error) {
	sim, err := newSimulation(o)
	if err != nil {
		return nil, fmt.Errorf("replay: %w", err)
	}
	r := rand.New(rand.NewPCG(o.Seed, 1))
	for _, a := range drawArrivals(sim.d, sim.models, start, o.Days, r) {
		if a.At.After(start) {
			sim.events.at(a.At, func(now time.Time) { sim.arrive(a, now) })
		}
	}
	sim.events.run(sim.end)
	for _, v := range sim.vms {
		for _, r := range v.replicas {
			if r.idle() {
				sim.addIdle(r, sim.end)
			}
		}
	}
	return &sim.result, nil
}

func newSimulation(o Options) (*Simulation, error) {
	d := o.Deployment
	sim := &Simulation{
		d: d, o: o, rand: rand.New(rand.NewPCG(o.Seed, 0)),
		modelIndex:  make(map[ident.Model]int),
		choosers:    make(map[ident.Region]*coldstart.Chooser),
		views:       make(map[viewKey]view),
		lastArrival: make(map[int]time.Time),
		measureFrom: start.AddDate(0, 0, o.WarmupDays),
		end:         start.AddDate(0, 0, o.Days),
		result:      Result{Tiers: make(map[engine.Tier]int), ByPriority: make(map[ident.Priority][]time.Duration)},
		stalls:      rand.New(rand.NewPCG(o.Seed, stallStream)),
	}
	sim.models = drawModels(d, sim.rand)
	for i, m := range sim.models {
		sim.modelIndex[m.name] = i
	}
	loadLimiter, err := loadlimit.New(loadlimit.Config{Store: d.Store})
	if err != nil {
		return nil, err
	}
	sim.store = &weightStore{
		limiter: loadLimiter, parallel: d.Store.ParallelLoads, slowdown: max(1, o.Slowdown),
		onGrant: make(map[loadlimit.PermitID]func(time.Time)),
	}
	for _, r := range d.Regions {
		c, err := coldstart.New(coldstart.Config{Region: r, Zone: ident.Zone(r)})
		if err != nil {
			return nil, err
		}
		sim.choosers[r] = c
	}
	sim.addVMs()
	return sim, nil
}

func (sim *Simulation) addVMs() {
	for i := range sim.d.Replicas {
		v := &vm{
			sim: sim, id: ident.VM(fmt.Sprint("vm-", i)), region: sim.d.Regions[i%len(sim.d.Regions)],
			freeMB: sim.d.MemoryMB, host: weightCache{freeMB: sim.d.HostMB}, disk: weightCache{freeMB: sim.d.DiskMB},
			replicas: make(map[int]*replica),
			policy:   sim.o.Policies.Models(sim.share), adapters: sim.o.Policies.Adapters(),
		}
		sim.vms = append(sim.vms, v)
		if p, ok := v.policy.(prewarmer); ok {
			sim.events.at(start, func(now time.Time) { v.prewarmLoop(p, now) })
		}
	}
	for i, m := range sim.models {
		for _, s := range m.slots {
			if sim.rand.Float64() < cachedShare {
				sim.vms[s].disk.put(i, sim.models)
			}
		}
	}
}

// arrive routes one request and schedules its refusal at its deadline.
func (sim *Simulation) arrive(a Arrival, now time.Time) {
	q := &request{Arrival: a, deadline: now.Add(sim.models[a.Model].group.FirstTokenTimeout)}
	sim.route(q, now)
	sim.events.at(q.deadline, func(at time.Time) { sim.refuse(q, at) })
}

// route sends a request to the VM that the router of its region chooses, and
// schedules the next check if the request has to wait for a load. It refuses a request
// without a usable VM, and a new one that can't be served before its deadline.
func (sim *Simulation) route(q *request, now time.Time) {
	m := sim.models[q.Model]
	query := coldstart.Query{
		Model: m.name, MemoryMB: m.memoryMB, Candidates: sim.view(q.Region, q.Model, now),
		ServiceTime: meanServiceTime, Now: now, Deadline: q.deadline,
	}
	for _, s := range m.slots {
		query.Slots = append(query.Slots, coldstart.Slot{VM: sim.vms[s].id, Fence: 1})
	}
	choice, err := sim.choosers[q.Region].Choose(query)
	if err != nil || q.vm == nil && !choice.MeetsDeadline(now, q.deadline) {
		sim.refuse(q, now)
		return
	}
	for _, s := range m.slots {
		if v := sim.vms[s]; v.id == choice.VM {
			if v.region != q.Region {
				q.linkTime = 2 * coldstart.DefaultRegionDelay
			}
			sim.send(q, v, now)
		}
	}
	if choice.Action != coldstart.Serve && !sim.o.NoReroute {
		due := choice.Recheck
		if due.Before(now) {
			due = now
		}
		sim.events.at(due.Add(maxViewAge), func(at time.Time) { sim.recheck(q, at) })
	}
}

// send moves a request to v unless v is the VM to which it was sent last.
func (sim *Simulation) send(q *request, v *vm, now time.Time) {
	if q.vm == v {
		return
	}
	if q.vm != nil {
		q.vm.removeWaiting(q)
	}
	q.vm = v
	v.receive(q, now)
}

// recheck routes a request again if it still waits for a load.
func (sim *Simulation) recheck(q *request, now time.Time) {
	if !q.done {
		sim.route(q, now)
	}
}

// view returns the candidates for a model as the router of a region sees them.
func (sim *Simulation) view(r ident.Region, m int, now time.Time) []coldstart.Candidate {
	key := viewKey{region: r, model: m}
	v, ok := sim.views[key]
	if ok && now.Sub(v.at) < maxViewAge {
		return v.candidates
	}
	v = view{at: now}
	for _, s := range sim.models[m].slots {
		v.candidates = append(v.candidates, sim.vms[s].candidate(m))
	}
	sim.views[key] = v
	return v.candidates
}

// served records the cold-start time of a request that starts to run.
func (sim *Simulation) served(q *request, now time.Time) {
	q.done = true
	var took time.Duration
	if q.cold {
		took = now.Sub(q.At) + q.linkTime
	}
	sim.record(q, took)
}

// refuse records that a request was refused, unless it is done.
func (sim *Simulation) refuse(q *request, now time.Time) {
	if q.done {
		return
	}
	q.done = true
	sim.count(now, &sim.result.Refusals)
	sim.record(q, q.deadline.Sub(q.At))
}

func (sim *Simulation) record(q *request, took time.Duration) {
	idle := q.At.Sub(sim.lastArrival[q.Model])
	sim.lastArrival[q.Model] = q.At
	if q.At.Before(sim.measureFrom) {
		return
	}
	sim.result.Cold = append(sim.result.Cold, took)
	p := sim.models[q.Model].group.Priority
	sim.result.ByPriority[p] = append(sim.result.ByPriority[p], took)
	if took > 0 && sim.o.Trace != nil {
		sim.o.Trace(ColdRequest{At: q.At, Group: sim.models[q.Model].group.Name, Model: q.Model, Idle: idle, Duration: took})
	}
}

// addIdle adds a replica's idle time up to now to the result.
func (sim *Simulation) addIdle(r *replica, now time.Time) {
	from := r.idleSince
	if from.Before(sim.measureFrom) {
		from = sim.measureFrom
	}
	if now.After(from) {
		share := float64(sim.models[r.model].memoryMB) / float64(sim.d.MemoryMB)
		sim.result.IdleHours += now.Sub(from).Hours() * share
	}
	r.idleSince = now
}

// count adds one to a figure once the measurement has begun.
func (sim *Simulation) count(now time.Time, n *int) {
	if !now.Before(sim.measureFrom) {
		*n++
	}
}

// share returns the share of an accelerator's memory that a model takes.
func (sim *Simulation) share(m ident.Model) float64 {
	return float64(sim.models[sim.modelIndex[m]].memoryMB) / float64(sim.d.MemoryMB)
}

const (
	// stallFactor is how many times as long a stalled load takes.
	stallFactor = 20
	// stallStream is the random stream of the stalls, apart from all other draws.
	stallStream = 2
)

// stall draws the factor by which one load takes longer.
func (sim *Simulation) stall() float64 {
	if sim.stalls.Float64() < sim.o.StallShare {
		return stallFactor
	}
	return 1
}
