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
	"github.com/laureltally/laureltally/internal/wait"
	"github.com/laureltally/laureltally/metastore"
)

// Planner keeps the allocations of one environment in line with the
// configuration document and the list of VMs. Any number of routers run a
// planner: the ranking of the routers for a model only decides which one tries
// first. A planner reacts to changes; without any, it makes no store calls other
// than the open watch and the listing that renews it.
type Planner struct {
	o        Options
	view     *View
	limiter  *rate.Limiter
	signaled chan struct{}

	mu              sync.Mutex
	document        *config.Document
	documentVersion metastore.Version
	tracker         *VMTracker
	freeMB          map[ident.VM]int64
	writeAt         map[ident.Model]time.Time
	writes          uint64
}

// NewPlanner returns a planner. It fails with *OptionsError.
func NewPlanner(o Options) (*Planner, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	o.setDefaults()
	return &Planner{
		o:        o,
		view:     NewView(o.Environment),
		limiter:  rate.NewLimiter(rate.Limit(o.WritesPerSecond), int(max(1, o.WritesPerSecond))),
		signaled: make(chan struct{}, 1),
		tracker:  NewVMTracker(o.Self, o.RemovalDelay, o.MaxListAge),
		writeAt:  make(map[ident.Model]time.Time),
	}, nil
}

// View returns the watched allocations.
func (p *Planner) View() *View { return p.view }

// Slots returns the watched slots of m in the order of their fencing tokens.
func (p *Planner) Slots(m ident.Model) []Slot { return p.view.Slots(m) }

// SetDocument sets the configuration document in force. A version lower than
// the current one is ignored.
func (p *Planner) SetDocument(documentVersion metastore.Version, d config.Document) {
	p.mu.Lock()
	if p.document == nil || documentVersion >= p.documentVersion {
		p.document, p.documentVersion = &d, documentVersion
	}
	p.mu.Unlock()
	p.signal()
}

// SetVMs sets the platform's list of VMs. It is called after each successful
// read of the list. The caller also marks a VM as leaving when its agent
// reports that it is draining.
func (p *Planner) SetVMs(vms []metastore.VM) {
	p.mu.Lock()
	used := p.tracker.Update(vms, p.o.Now())
	p.mu.Unlock()
	if used {
		p.signal()
	}
}

// SetFreeMB sets the free accelerator memory of VMs in MiB, which is only a
// hint for the choice of new slots.
func (p *Planner) SetFreeMB(freeMB map[ident.VM]int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freeMB = freeMB
}

// Run watches and plans until ctx ends, and returns the cause.
func (p *Planner) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.watch(ctx) })
	group.Go(func() error { return p.reconcile(ctx) })
	return group.Wait()
}

func (p *Planner) signal() {
	wait.Notify(p.signaled)
}

// reconcile writes each allocation that differs from its plan once this
// router's takeover delay has passed.
func (p *Planner) reconcile(ctx context.Context) error {
	for ctx.Err() == nil {
		models, next := p.dueModels()
		for _, m := range models {
			if p.limiter.Wait(ctx) != nil {
				return context.Cause(ctx)
			}
			p.write(ctx, m)
		}
		if len(models) == 0 {
			p.waitForChange(ctx, next)
		}
	}
	return context.Cause(ctx)
}

// waitForChange waits for a change, or until next if it is not zero.
func (p *Planner) waitForChange(ctx context.Context, next time.Time) {
	var timer <-chan time.Time
	if !next.IsZero() {
		t := time.NewTimer(next.Sub(p.o.Now()))
		defer t.Stop()
		timer = t.C
	}
	select {
	case <-ctx.Done():
	case <-p.signaled:
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
	p.reportUnlisted(slots)
	for _, m := range p.allModels() {
		a, _ := p.view.ForModel(m)
		if _, changed := Plan(a, p.input(m, slots)); !changed {
			delete(p.writeAt, m)
			continue
		}
		at, scheduled := p.writeAt[m]
		if !scheduled {
			at = now.Add(p.takeoverDelay(m))
			p.writeAt[m] = at
		}
		if !at.After(now) {
			models = append(models, m)
		} else if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return models, next
}

// reportUnlisted sets the gauge of slots whose VM has never been in a list.
// Planners remove them only if Options.MaxListAge is set.
func (p *Planner) reportUnlisted(slots map[ident.VM]int) {
	n := 0
	for vm, count := range slots {
		if !p.tracker.Listed(vm) {
			n += count
		}
	}
	p.o.Metrics.Gauge("unseen_slots").Update(float64(n))
}

// allModels returns the models of the document and of the allocations, sorted
// by name, or none until the document, a list of VMs and a listing of the
// allocations are available.
func (p *Planner) allModels() []ident.Model {
	if p.document == nil || p.tracker.lastUpdate.IsZero() || !p.view.Listed() {
		return nil
	}
	models := p.view.Models()
	for _, m := range p.document.Models {
		models = append(models, m.Name)
	}
	slices.Sort(models)
	return slices.Compact(models)
}

func (p *Planner) input(m ident.Model, slots map[ident.VM]int) Input {
	in := Input{Model: m, DocumentVersion: p.documentVersion, Removed: p.tracker.Removed, VMs: p.tracker.VMs(), Slots: slots, FreeMB: p.freeMB}
	i := slices.IndexFunc(p.document.Models, func(s config.Model) bool { return s.Name == m })
	if i < 0 {
		return in
	}
	spec := p.document.Models[i]
	in.Limit = spec.MaxReplicas
	in.NeedMB = spec.MemoryMB + spec.KVCacheMB
	in.Upstream = spec.Upstream
	return in
}

// takeoverDelay returns how long this router waits for the routers ranked
// before it to write first.
func (p *Planner) takeoverDelay(m ident.Model) time.Duration {
	own := rank(m, p.o.Self)
	ahead := 0
	for _, r := range p.tracker.Routers() {
		if r != p.o.Self && rank(m, r) < own {
			ahead++
		}
	}
	return time.Duration(ahead) * p.o.TakeoverDelay
}

// write plans m on the newest known allocation and updates it conditionally.
func (p *Planner) write(ctx context.Context, m ident.Model) {
	next, version, changed := p.plan(m)
	if !changed {
		return
	}
	err := p.put(ctx, m, next, version)
	if err != nil {
		p.o.Metrics.Counter("grant_write_failures").Inc(1)
		p.o.Logger.WithError(err).WithField("model", string(m)).Warn("allocation write failed")
		p.scheduleRetry(m)
		return
	}
	p.o.Metrics.Counter("grant_writes").Inc(1)
	p.o.Logger.WithField("model", string(m)).WithField("limit", next.Limit).WithField("slots", len(next.Slots)).
		WithField("document", uint64(next.DocumentVersion)).Info("allocation written")
}

func (p *Planner) plan(m ident.Model) (Allocation, metastore.Version, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, version := p.view.ForModel(m)
	next, changed := Plan(a, p.input(m, p.view.SlotsByVM()))
	p.writes++
	next.Writer = fmt.Sprintf("%s-%x-%d", p.o.Self, uint64(p.o.Incarnation), p.writes)
	return next, version, changed
}

// scheduleRetry delays the next attempt for m, with jitter so that competing
// planners do not retry at the same time.
func (p *Planner) scheduleRetry(m ident.Model) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pause := time.Duration(float64(p.o.RetryDelay) * (1 + p.o.Rand()))
	p.writeAt[m] = p.o.Now().Add(pause)
}

// put writes an allocation. If the write fails without a definite result, put
// reads the object and compares the Writer to find out whether it took effect.
func (p *Planner) put(ctx context.Context, m ident.Model, a Allocation, version metastore.Version) error {
	key := Key(p.o.Environment, m)
	value, err := a.Encode()
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
		return fmt.Errorf("write allocation: %w", err)
	}
	p.view.Apply(o)
	if current, _ := p.view.ForModel(m); current.Writer == a.Writer {
		return nil
	}
	return fmt.Errorf("write allocation: %w", err)
}
