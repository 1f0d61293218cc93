package residency

import (
	"cmp"
	"slices"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// Status returns the report for routers, without the fields that identify the
// sidecar, or nil before the first snapshot of the engine.
func (s *Scheduler) Status(now time.Time) *wire.Report {
	if s.spec == nil || s.snap == nil {
		return nil
	}
	l := s.EngineLoad(now)
	return &wire.Report{
		Draining:       s.snap.Leaving || s.ended,
		Running:        l.Running,
		Waiting:        l.Waiting,
		Concurrency:    l.Concurrency,
		RunTime:        s.runTime,
		Models:         s.modelReports(now),
		SwapWait:       l.SwapWait,
		RemoteLoadWait: l.RemoteLoadWait,
	}
}

// EngineLoad returns the load of the engine for the reply to a request.
func (s *Scheduler) EngineLoad(now time.Time) *wire.EngineLoad {
	if s.spec == nil || s.snap == nil {
		return nil
	}
	l := &wire.EngineLoad{Running: s.active, Waiting: s.queued(), Concurrency: s.usableConcurrency(), SwapWait: s.swapWait(now)}
	l.RemoteLoadWait = l.SwapWait + s.remoteLoadAhead()
	return l
}

// usableConcurrency returns how many requests the engine can run at once: no more than
// begin within the run time of one, at the limit on requests a second.
func (s *Scheduler) usableConcurrency() int {
	n := s.concurrencyLimit.value
	if l := s.pace.Limit(); l.Named {
		n = min(n, l.PerSecond*s.runTime.Seconds())
	}
	return max(1, int(n))
}

// queued returns the number of requests that wait only for capacity.
func (s *Scheduler) queued() int {
	n := 0
	for _, p := range s.requests {
		if !p.isGranted() && s.ready(p) {
			n++
		}
	}
	return n
}

func (s *Scheduler) modelReports(now time.Time) []wire.ModelReport {
	var reports []wire.ModelReport
	for name, adapters := range s.snap.Loaded {
		report := wire.ModelReport{Model: name, Phase: engine.PhaseLoaded, Tier: s.tier(name), Adapters: slices.Sorted(slices.Values(adapters))}
		if s.unloading(name, "") {
			report.Phase = engine.PhaseUnloading
		}
		reports = append(reports, report)
	}
	awaited := s.awaitedSwaps(now)
	for name, t := range s.snap.Tiers {
		if _, loaded := s.snap.Loaded[name]; loaded || s.loading(name) {
			continue
		}
		report := wire.ModelReport{Model: name, Tier: t}
		if wait, ok := awaited[name]; ok {
			report.Phase, report.ReadyIn = engine.PhaseLoading, wait
		}
		reports = append(reports, report)
	}
	if s.inFlight != nil && s.inFlight.loadsModel() {
		reports = append(reports, wire.ModelReport{Model: s.inFlight.Model, Phase: engine.PhaseLoading, Tier: s.tier(s.inFlight.Model), ReadyIn: s.inFlight.remaining(now)})
	}
	slices.SortFunc(reports, func(a, b wire.ModelReport) int { return cmp.Compare(a.Model, b.Model) })
	return slices.CompactFunc(reports, func(a, b wire.ModelReport) bool { return a.Model == b.Model })
}

// awaitedSwaps estimates the time until each model is loaded that requests wait for and whose
// weights are in memory or on disk. Routers are told that these models are loading, so that
// further requests for a rare model join those that wait: many rare models that get one request
// each take turns, and a swap for each request, rather than each model, fills the engines.
func (s *Scheduler) awaitedSwaps(now time.Time) map[ident.Model]time.Duration {
	waits := s.loadWaits(now)
	for name, wait := range waits {
		if s.tier(name) == engine.TierRemote || !s.hasWaiting(name, "") {
			delete(waits, name)
			continue
		}
		waits[name] = wait + s.evictionWait(now, name)
	}
	return waits
}

func (s *Scheduler) loading(name ident.Model) bool {
	return s.inFlight != nil && s.inFlight.loadsModel() && s.inFlight.Model == name
}

// swapWait estimates the time until a load from memory or disk could begin. Models
// that no request waits for are left out, since the load for a request precedes
// theirs.
func (s *Scheduler) swapWait(now time.Time) time.Duration {
	wait := swapOverhead
	if s.inFlight != nil {
		wait += s.inFlight.remaining(now)
	}
	for _, name := range s.neededModels(now) {
		if s.hasWaiting(name, "") {
			wait += s.swapTime(name)
		}
	}
	return wait + s.evictionWait(now, "")
}

// remoteLoadAhead returns the additional wait of a remote load while another one is
// requested or permitted and not yet begun.
func (s *Scheduler) remoteLoadAhead() time.Duration {
	if s.permit != nil && !s.loading(s.permit.Model) {
		if spec := s.spec.Model(s.permit.Model); spec != nil {
			return spec.RemoteLoad
		}
	}
	return 0
}

// Prefill returns the estimated prefill rate in prompt tokens per millisecond and the
// duration of the prefill backlog, for logs.
func (s *Scheduler) Prefill(now time.Time) (tokensPerMS float64, remaining time.Duration) {
	return s.prefill.rate(), s.prefill.backlog(now)
}

// Load returns the number of admitted requests, the concurrency limit, and the age of
// the newest snapshot in milliseconds, for logs.
func (s *Scheduler) Load(now time.Time) (active, concurrencyLimit int, reportMS int64) {
	if s.snap != nil {
		reportMS = now.Sub(s.snap.ReadAt).Milliseconds()
	}
	return s.active, int(s.concurrencyLimit.value), reportMS
}
