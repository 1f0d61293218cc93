package router

import (
	"context"
	"time"

	"github.com/laureltally/laureltally/coldstart"
	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/wire"
)

// upstreamVM is the state of one VM of an upstream. The fleet's lock guards it.
type upstreamVM struct {
	listed    metastore.VM
	stop      context.CancelFunc
	report    *wire.Report
	connected bool
	removed   bool
	indexed   []ident.Model
	// loadSince holds the time at which the load of each model was first reported,
	// loadTier the tier of the weights before it.
	loadSince map[ident.Model]time.Time
	loadTier  map[ident.Model]engine.Tier
}

// environment returns the environment that the VM's agent serves, or "" while it has no
// document.
func (u *upstreamVM) environment() ident.Environment {
	if u.report == nil {
		return ""
	}
	for env := range u.report.Configs {
		return env
	}
	return ""
}

// newer reports whether r supersedes the latest report.
func (u *upstreamVM) newer(r *wire.Report) bool {
	return u.report == nil || r.Incarnation != u.report.Incarnation || r.Seq > u.report.Seq
}

// available reports whether new requests may be sent to the VM.
func (u *upstreamVM) available() bool {
	return u.report != nil && u.connected && !u.removed && !u.listed.Leaving && !u.report.Draining
}

func (u *upstreamVM) model(m ident.Model) (wire.ModelReport, bool) {
	if u.report == nil {
		return wire.ModelReport{}, false
	}
	for _, r := range u.report.Models {
		if r.Model == m {
			return r, true
		}
	}
	return wire.ModelReport{}, false
}

// observeLoad compares the phases of a model in two reports and passes the duration of a
// completed load, or its failure, to the chooser. memoryMB is the size of the model, in
// MiB.
func (u *upstreamVM) observeLoad(before, after wire.ModelReport, memoryMB int64, now time.Time, c *coldstart.Chooser) {
	name := scoped(u.environment(), after.Model)
	switch {
	case after.Phase == engine.PhaseLoading && before.Phase != engine.PhaseLoading:
		u.loadStarted(after.Model, before.Tier, now)
	case after.Phase == engine.PhaseLoaded && before.Phase == engine.PhaseLoading:
		if since, ok := u.loadSince[after.Model]; ok && memoryMB > 0 {
			c.ObserveLoad(name, u.listed.ID, u.loadTier[after.Model], memoryMB, now.Sub(since))
		}
	case after.Phase == "" && before.Phase == engine.PhaseLoading:
		c.ObserveLoadFailure(name, u.listed.ID, now)
	}
}

func (u *upstreamVM) loadStarted(m ident.Model, tier engine.Tier, now time.Time) {
	if u.loadSince == nil {
		u.loadSince = make(map[ident.Model]time.Time)
		u.loadTier = make(map[ident.Model]engine.Tier)
	}
	u.loadSince[m] = now
	u.loadTier[m] = tier
}
