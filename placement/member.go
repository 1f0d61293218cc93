package placement

import (
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// member is what a Board believes of one VM.
type member struct {
	vm *fleet.VM
	// report is the agent's newest, and reportedAt when it came.
	report     *wire.Report
	reportedAt time.Time
	models     map[ident.Model]*wire.ModelReport
	// seq numbers the reports that the Board makes up itself.
	seq uint64
	// inFlight counts the router's own requests.
	inFlight int
	// blocked is until when the VM takes no new work, though registered: its
	// address answered as another VM.
	blocked time.Time
	// lacking are models that are registered and were found missing, with the time
	// until which that is believed.
	lacking map[ident.Model]time.Time
}

// lacks tells whether a model was found missing a short while ago.
func (m *member) lacks(now time.Time, name ident.Model) bool { return now.Before(m.lacking[name]) }

// missedReports is how many reports in a row may be missing before an agent counts
// as silent: one may be lost on its way.
const missedReports = 2

// reportDelay is how long a report may take on its way: three times the longest
// link, and the receiver's own work.
const reportDelay = 200 * time.Millisecond

// fresh tells whether the agent's report can be relied on. Timeout holds for agents
// that don't say when they report next.
func (m *member) fresh(now time.Time, timeout time.Duration) bool {
	if m.report == nil {
		return false
	}
	if next := m.report.MaxReportInterval; next > 0 {
		timeout = missedReports*next + reportDelay
	}
	return now.Sub(m.reportedAt) < timeout
}

// usable tells whether new requests may be sent.
func (m *member) usable(now time.Time) bool {
	return !m.vm.Leaving && !now.Before(m.blocked) && (m.report == nil || !m.report.Draining)
}

// loadShare is the part of the VM's places that is taken.
func (m *member) loadShare() float64 {
	if m.report == nil || m.report.Concurrency == 0 {
		return 0
	}
	return float64(max(m.inFlight, m.report.Running+m.report.Waiting)) / float64(m.report.Concurrency)
}

// model returns what the agent says of a model, or nil.
func (m *member) model(name ident.Model) *wire.ModelReport { return m.models[name] }

// readiness tells how near a model is.
func (m *member) readiness(name ident.Model) Readiness {
	r := m.models[name]
	switch {
	case r == nil:
		return Remote
	case r.Phase == engine.PhaseLoaded:
		return Loaded
	case r.Phase == engine.PhaseLoading:
		return Loading
	case r.Tier == engine.TierMemory || r.Tier == engine.TierDisk:
		return Cached
	}
	return Remote
}

func (m *member) take(now time.Time, r *wire.Report) {
	m.report, m.reportedAt = r, now
	m.models = make(map[ident.Model]*wire.ModelReport, len(r.Models))
	for i := range r.Models {
		m.models[r.Models[i].Model] = &r.Models[i]
	}
}
