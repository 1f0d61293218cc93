package allocation

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// Planner keeps the grants of one environment as the document and the VMs call
// for. Any number of routers run one: the rank of the routers for a model only
// decides who tries first. It is driven by changes; without any it makes no
// call but its waiting watch.
type Planner struct {
	o       Options
	view    *View
	limiter *rate.Limiter
	wake    chan struct{}

	mu      sync.Mutex
	doc     *config.Document
	version metastore.Version
	roster  *VMTracker
	free    map[ident.VM]int64
	due     map[ident.Model]time.Time
	writes  uint64
}

// NewPlanner returns a planner, or *OptionsError.
func NewPlanner(o Options) (*Planner, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	o.setDefaults()
	return &Planner{
		o:       o,
		view:    NewView(o.Environment),
		limiter: rate.NewLimiter(rate.Limit(o.WritesPerSecond), int(max(1, o.WritesPerSecond))),
		wake:    make(chan struct{}, 1),
		roster:  NewVMTracker(o.Self, o.RemovalDelay, o.ListLag),
		due:     make(map[ident.Model]time.Time),
	}, nil
}

// View returns the grants as the planner watches them.
func (p *Planner) View() *View { return p.view }

// Slots returns the slots of m as watched, in the order of their fences.
func (p *Planner) Slots(m ident.Model) []Slot { return p.view.Slots(m) }

// SetDocument gives the document in force. A version below the present one is
// ignored.
func (p *Planner) SetDocument(version metastore.Version, d config.Document) {
	p.mu.Lock()
	if p.doc == nil || version >= p.version {
		p.doc, p.version = &d, version
	}
	p.mu.Unlock()
	p.poke()
}

// SetVMs gives the platform's list, each time that it was read successfully.
// The caller marks a VM as leaving also when its agent says that it drains.
func (p *Planner) SetVMs(vms []metastore.VM) {
	p.mu.Lock()
	used := p.roster.Update(vms, p.o.Now())
	p.mu.Unlock()
	if used {
		p.poke()
	}
}

// SetFreeMB gives the free accelerator memory of VMs in MiB, a hint for the
// choice of new slots only.
func (p *Planner) SetFreeMB(free map[ident.VM]int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free = free
}

// Run watches and plans until ctx ends, and returns the cause.
func (p *Planner) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.watch(ctx) })
	group.Go(func() error { return p.work(ctx) })
	return group.Wait()
}

func (p *Planner) poke() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// work writes each grant that differs from its plan when this router's turn
// has come.
func (p *Planner) work(ctx context.Context) error {
	for ctx.Err() == nil {
		models, next := p.dueModels()
		for _, m := range models {
			if p.limiter.Wait(ctx) != nil {
				return context.Cause(ctx)
			}
			p.write(ctx, m)
		}
		if len(models) == 0 {
			p.pause(ctx, next)
		}
	}
	return context.Cause(ctx)
}

// pause waits for a change, or for next if it is not zero.
func (p *Planner) pause(ctx context.Context, next time.Time) {
	var timer <-chan time.Time
	if !next.IsZero() {
		t := time.NewTimer(next.Sub(p.o.Now()))
		defer t.Stop()
		timer = t.C
	}
	select {
	case <-ctx.Done():
	case <-p.wake:
	case <-timer:
	}
}

// dueModels returns the models to write now and the time at which the next one
// is due, zero if there is none.
func (p *Planner) dueModels() ([]ident.Model, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var models []ident.Model
	var next time.Time
	now := p.o.Now()
	slots := p.view.SlotsByVM()
	p.countUnseen(slots)
	for _, m := range p.allModels() {
		g, _ := p.view.Grant(m)
		if _, changed := Plan(g, p.input(m, slots)); !changed {
			delete(p.due, m)
			continue
		}
		at, known := p.due[m]
		if !known {
			at = now.Add(p.turn(m))
			p.due[m] = at
		}
		if !at.After(now) {
			models = append(models, m)
		} else if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return models, next
}

// countUnseen reports the slots of VMs that no list has shown, which nobody may
// free.
func (p *Planner) countUnseen(slots map[ident.VM]int) {
	n := 0
	for vm, count := range slots {
		if !p.roster.Seen(vm) {
			n += count
		}
	}
	p.o.Metrics.Gauge("unseen_slots").Update(float64(n))
}

// allModels returns the models of the document and of the grants by name, none
// before everything that a plan needs is known.
func (p *Planner) allModels() []ident.Model {
	if p.doc == nil || p.roster.latest.IsZero() || !p.view.Listed() {
		return nil
	}
	models := p.view.Models()
	for _, m := range p.doc.Models {
		models = append(models, m.Name)
	}
	slices.Sort(models)
	return slices.Compact(models)
}

func (p *Planner) input(m ident.Model, slots map[ident.VM]int) Input {
	in := Input{Model: m, DocumentVersion: p.version, Removed: p.roster.Removed, VMs: p.roster.VMs(), Slots: slots, FreeMB: p.free}
	i := slices.IndexFunc(p.doc.Models, func(s config.Model) bool { return s.Name == m })
	if i < 0 {
		return in
	}
	spec := p.doc.Models[i]
	in.Limit = spec.MaxReplicas
	in.NeedMB = spec.MemoryMB + spec.KVCacheMB
	in.Upstream = spec.Upstream
	return in
}

// turn returns how long this router lets those before it try first.
func (p *Planner) turn(m ident.Model) time.Duration {
	mine := rank(m, p.o.Self)
	before := 0
	for _, r := range p.roster.Routers() {
		if r != p.o.Self && rank(m, r) < mine {
			before++
		}
	}
	return time.Duration(before) * p.o.Takeover
}

// write plans m on the newest known grant and updates it conditionally.
func (p *Planner) write(ctx context.Context, m ident.Model) {
	next, version, changed := p.plan(m)
	if !changed {
		return
	}
	err := p.put(ctx, m, next, version)
	if err != nil {
		p.o.Metrics.Counter("grant_write_failures").Inc(1)
		p.o.Logger.WithError(err).WithField("model", string(m)).Warn("grant not written")
		p.postpone(m)
		return
	}
	p.o.Metrics.Counter("grant_writes").Inc(1)
	p.o.Logger.WithField("model", string(m)).WithField("limit", next.Limit).WithField("slots", len(next.Slots)).
		WithField("document", uint64(next.DocumentVersion)).Info("grant written")
}

func (p *Planner) plan(m ident.Model) (Allocation, metastore.Version, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, version := p.view.Grant(m)
	next, changed := Plan(g, p.input(m, p.view.SlotsByVM()))
	p.writes++
	next.Writer = fmt.Sprintf("%s-%x-%d", p.o.Self, uint64(p.o.Incarnation), p.writes)
	return next, version, changed
}

// postpone lets the next try of m wait, with jitter so that racing planners
// part.
func (p *Planner) postpone(m ident.Model) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pause := time.Duration(float64(p.o.Retry) * (1 + p.o.Rand()))
	p.due[m] = p.o.Now().Add(pause)
}

// put writes a grant. A write without a definite answer is looked for by its
// writer token.
func (p *Planner) put(ctx context.Context, m ident.Model, g Allocation, version metastore.Version) error {
	key := Key(p.o.Environment, m)
	value, err := g.Encode()
	if err != nil {
		return err
	}
	written, err := p.o.Store.Put(ctx, key, value, version)
	if err == nil {
		p.view.Apply(metastore.Object{Key: key, Value: value, Version: written})
		return nil
	}
	o, getErr := p.o.Store.Get(ctx, key)
	if getErr != nil {
		return fmt.Errorf("write grant: %w", err)
	}
	p.view.Apply(o)
	if current, _ := p.view.Grant(m); current.Writer == g.Writer {
		return nil
	}
	return fmt.Errorf("write grant: %w", err)
}
