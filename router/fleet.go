package router

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/laureltally/laureltally/coldstart"
	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/outlier"
	"github.com/laureltally/laureltally/routing"
	"github.com/laureltally/laureltally/wire"
)

// fleet holds the router's state of the upstream VMs. Its lock also guards the choosers
// and outlier detectors, which have no locks of their own.
type fleet struct {
	s *Server

	mu  sync.Mutex
	vms map[ident.VM]*upstreamVM
	// byModel, table and cold use names qualified by environment; see scoped.
	byModel   map[ident.Model]map[ident.VM]*upstreamVM
	chooser   *routing.Chooser
	table     *routing.Table
	cold      *coldstart.Chooser
	detectors map[ident.Upstream]*outlier.Detector
}

func newFleet(s *Server) (*fleet, error) {
	chooser, err := routing.New(routing.Options{Rand: s.splitRand()})
	if err != nil {
		return nil, fmt.Errorf("routing: %w", err)
	}
	cold, err := coldstart.New(coldstart.Config{Region: s.o.Settings.Region, Zone: s.o.Settings.Zone})
	if err != nil {
		return nil, fmt.Errorf("cold start: %w", err)
	}
	return &fleet{
		s:         s,
		vms:       make(map[ident.VM]*upstreamVM),
		byModel:   make(map[ident.Model]map[ident.VM]*upstreamVM),
		chooser:   chooser,
		table:     routing.NewTable(chooser),
		cold:      cold,
		detectors: make(map[ident.Upstream]*outlier.Detector),
	}, nil
}

// listInterval is the interval of reads of the list of VMs.
const listInterval = time.Second

// run polls the list of VMs until ctx ends.
func (f *fleet) run(ctx context.Context) {
	tick := time.NewTicker(listInterval)
	defer tick.Stop()
	for {
		f.refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// refresh reads the list once. If that fails, the known VMs stay as they are.
func (f *fleet) refresh(ctx context.Context) {
	listed, err := f.s.o.VMs.ListVMs(ctx)
	if err != nil {
		f.s.o.Logger.WithError(err).Debug("list of VMs not read")
		return
	}
	defer f.updatePlanners(listed)
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := make(map[ident.VM]bool, len(listed))
	peers := 0
	for _, vm := range listed {
		if vm.Role != metastore.RoleAgent {
			if vm.Region == f.s.o.Settings.Region && !vm.Leaving {
				peers++
			}
			continue
		}
		seen[vm.ID] = true
		f.addListedLocked(ctx, vm)
	}
	f.chooser.SetRouters(peers)
	for id, u := range f.vms {
		if !seen[id] {
			f.removeLocked(u)
		}
	}
}

// updatePlanners passes the list and the free memory of the VMs to the planners. VMs
// whose agents report that they are draining are marked as leaving.
func (f *fleet) updatePlanners(listed []metastore.VM) {
	free := make(map[ident.VM]int64)
	f.mu.Lock()
	for i := range listed {
		u, ok := f.vms[listed[i].ID]
		if !ok || u.report == nil {
			continue
		}
		listed[i].Leaving = listed[i].Leaving || u.report.Draining
		free[u.listed.ID] = u.report.FreeMB
	}
	f.mu.Unlock()
	for _, env := range f.s.environments {
		env.planner.SetVMs(listed)
		env.planner.SetFreeMB(free)
	}
}

func (f *fleet) addListedLocked(ctx context.Context, vm metastore.VM) {
	if u, ok := f.vms[vm.ID]; ok {
		u.listed.Leaving = u.listed.Leaving || vm.Leaving
		return
	}
	sub, stop := context.WithCancel(ctx)
	u := &upstreamVM{listed: vm, stop: stop}
	f.vms[vm.ID] = u
	f.detectorLocked(vm.Upstream).Add(vm.ID)
	f.s.background.Go(func() { f.subscribe(sub, u) })
}

func (f *fleet) removeLocked(u *upstreamVM) {
	u.stop()
	u.removed = true
	delete(f.vms, u.listed.ID)
	f.table.Remove(u.listed.ID)
	f.detectorLocked(u.listed.Upstream).Remove(u.listed.ID)
	for _, holders := range f.byModel {
		delete(holders, u.listed.ID)
	}
}

func (f *fleet) detectorLocked(name ident.Upstream) *outlier.Detector {
	d, ok := f.detectors[name]
	if ok {
		return d
	}
	d, err := outlier.New(outlier.Options{Rand: f.s.splitRand()})
	if err != nil {
		// The options are constant, so an error is a bug in this package.
		panic(err)
	}
	f.detectors[name] = d
	return d
}

// applyReport replaces the report of u and passes it on, unless it is outdated.
func (f *fleet) applyReport(u *upstreamVM, r *wire.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u.removed || !u.newer(r) {
		return
	}
	now := f.s.o.Now()
	f.observeLoadsLocked(u, r, now)
	u.report = r
	inTable := *r
	inTable.Upstream = scoped(u.environment(), r.Upstream)
	f.table.Report(now, &inTable, 0)
	f.indexLocked(u)
}

// indexLocked adds u to the index of each model that it has a slot for or that is
// loading, loaded or unloading on it.
func (f *fleet) indexLocked(u *upstreamVM) {
	id := u.listed.ID
	for _, name := range u.indexed {
		delete(f.byModel[name], id)
	}
	u.indexed = u.indexed[:0]
	for _, m := range u.report.Models {
		if m.Fence == 0 && m.Phase == "" {
			continue
		}
		name := scoped(u.environment(), m.Model)
		holders, ok := f.byModel[name]
		if !ok {
			holders = make(map[ident.VM]*upstreamVM)
			f.byModel[name] = holders
		}
		holders[id] = u
		u.indexed = append(u.indexed, name)
	}
}

// observeLoadsLocked passes loads that have ended to the cold-start chooser.
func (f *fleet) observeLoadsLocked(u *upstreamVM, r *wire.Report, now time.Time) {
	for _, m := range r.Models {
		before, _ := u.model(m.Model)
		u.observeLoad(before, m, f.s.modelMB(u.environment(), m.Model), now, f.cold)
	}
}

// setConnected records whether the report stream of u is connected.
func (f *fleet) setConnected(u *upstreamVM, connected bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u.connected = connected
}

// find returns the listing of an agent's VM, if it is still listed.
func (f *fleet) find(id ident.VM) (metastore.VM, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u, ok := f.vms[id]
	if !ok {
		return metastore.VM{}, false
	}
	return u.listed, true
}

// covers reports whether each model and service of a document has an available VM that
// may serve it.
func (f *fleet) covers(d config.Document) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range d.Models {
		if !f.anyLocked(func(u *upstreamVM) bool {
			r, ok := u.model(m.Name)
			return ok && r.Fence != 0 && u.environment() == d.Environment
		}) {
			return false
		}
	}
	for _, s := range d.Services {
		if !f.anyLocked(func(u *upstreamVM) bool { return u.listed.Upstream == s.Upstream && u.environment() == d.Environment }) {
			return false
		}
	}
	return true
}

func (f *fleet) anyLocked(match func(*upstreamVM) bool) bool {
	for _, u := range f.vms {
		if u.available() && match(u) {
			return true
		}
	}
	return false
}
