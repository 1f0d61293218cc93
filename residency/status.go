package residency

import (
	"cmp"
	"slices"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// Status is what routers are told, without the fields that name the sidecar. It
// returns nil before the first report of the engine.
func (m *Scheduler) Status(now time.Time) *wire.Report {
	if m.spec == nil || m.snap == nil {
		return nil
	}
	r := &wire.Report{
		Draining:    m.snap.Leaving,
		Running:     m.active,
		Waiting:     m.queued(),
		Concurrency: max(1, int(m.limit.value)),
		RunTime:     m.runTime,
		Models:      m.modelReports(now),
	}
	r.SwapWait = m.swapWait(now)
	r.RemoteLoadWait = r.SwapWait + m.fetchAhead()
	return r
}

// queued counts the requests that wait for nothing but a place.
func (m *Scheduler) queued() int {
	n := 0
	for _, p := range m.requests {
		if !p.holds() && m.ready(p) {
			n++
		}
	}
	return n
}

func (m *Scheduler) modelReports(now time.Time) []wire.ModelReport {
	var out []wire.ModelReport
	for name, adapters := range m.snap.Loaded {
		mr := wire.ModelReport{Model: name, Phase: engine.PhaseLoaded, Tier: m.tier(name), Adapters: slices.Sorted(slices.Values(adapters))}
		if m.unloading(name, "") {
			mr.Phase = engine.PhaseUnloading
		}
		out = append(out, mr)
	}
	for name, t := range m.snap.Tiers {
		if _, loaded := m.snap.Loaded[name]; !loaded && !m.loading(name) {
			out = append(out, wire.ModelReport{Model: name, Tier: t})
		}
	}
	if m.order != nil && m.order.loads() {
		out = append(out, wire.ModelReport{Model: m.order.Model, Phase: engine.PhaseLoading, Tier: m.tier(m.order.Model), ReadyIn: m.order.left(now)})
	}
	slices.SortFunc(out, func(a, b wire.ModelReport) int { return cmp.Compare(a.Model, b.Model) })
	return slices.CompactFunc(out, func(a, b wire.ModelReport) bool { return a.Model == b.Model })
}

func (m *Scheduler) loading(name ident.Model) bool {
	return m.order != nil && m.order.loads() && m.order.Model == name
}

// swapWait is how long until a load of weights at hand could begin. Models that
// no request waits for are left out: a request comes before them.
func (m *Scheduler) swapWait(now time.Time) time.Duration {
	wait := swapOverhead
	if m.order != nil {
		wait += m.order.left(now)
	}
	for _, name := range m.wanted(now) {
		if m.waitsFor(name, "") {
			wait += m.swapTime(name)
		}
	}
	return wait + m.idleWait(now)
}

// fetchAhead is how much longer it is for a load from the weight store, since
// another one comes before it.
func (m *Scheduler) fetchAhead() time.Duration {
	if m.fetch != nil && !m.loading(m.fetch.Model) {
		if spec := m.spec.Model(m.fetch.Model); spec != nil {
			return spec.RemoteLoad
		}
	}
	return 0
}

// Prefill returns the estimate of how many prompt tokens the engine reads in a
// millisecond, and for how long it has to read, for logs.
func (m *Scheduler) Prefill(now time.Time) (tokensPerMS float64, left time.Duration) {
	return m.prefill.rate(), m.prefill.backlog(now)
}

// Load returns the granted requests, how many may be granted, and the age of the
// newest report in milliseconds, for logs.
func (m *Scheduler) Load(now time.Time) (active, limit int, reportMS int64) {
	if m.snap != nil {
		reportMS = now.Sub(m.snap.ReadAt).Milliseconds()
	}
	return m.active, int(m.limit.value), reportMS
}
