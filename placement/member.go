package placement

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// member is the state of one VM in a Balancer.
type member struct {
	vm *fleet.VM
	// instance is the state of the VM's server.
	instance *instance
	// report is the newest report of the agent, received at reportedAt, or nil.
	report     *wire.Report
	reportedAt time.Time
	models     map[ident.Model]*wire.ModelReport
	// superseded is set while another VM is in use at the same address.
	superseded bool
	// seq numbers the reports that the Balancer itself creates.
	seq uint64
	// inFlight counts the router's own requests at the VM.
	inFlight int
	bypass   bypass
	// blockedUntil is when the VM, although registered, may get new requests again
	// after its address responded as a different VM.
	blockedUntil time.Time
	// missingModels maps registered models that the VM reported as not loaded to the
	// time until which they are left out.
	missingModels map[ident.Model]time.Time
}

// missing reports whether the VM recently responded that it has not loaded a model.
func (m *member) missing(now time.Time, name ident.Model) bool {
	return now.Before(m.missingModels[name])
}

// countMissing returns the number of such models.
func (m *member) countMissing(now time.Time) int {
	n := 0
	for name := range m.missingModels {
		if m.missing(now, name) {
			n++
		}
	}
	return n
}

// takeReport takes over the agent's report from the member that was in use at the same
// address before.
func (m *member) takeReport(before *member) {
	if before.vm.Address == m.vm.Address && before.vm.Service == m.vm.Service {
		m.report, m.reportedAt, m.models = before.report, before.reportedAt, before.models
	}
}

// missedReports is how many consecutive reports may be missing before an agent is
// considered silent: one may be lost in transit.
const missedReports = 2

// reportDelay is the maximum delay of a report: three times the latency of the
// longest link, plus processing at the receiver.
const reportDelay = 200 * time.Millisecond

// fresh reports whether the agent's report is recent enough to use. Timeout applies
// to agents that don't announce the time of their next report.
func (m *member) fresh(now time.Time, timeout time.Duration) bool {
	if m.report == nil {
		return false
	}
	if next := m.report.MaxReportInterval; next > 0 {
		timeout = missedReports*next + reportDelay
	}
	return now.Sub(m.reportedAt) < timeout
}

// usable reports whether new requests may be sent to the VM.
func (m *member) usable(now time.Time) bool {
	return !m.leaving() && !m.superseded && !now.Before(m.blockedUntil) && !now.Before(m.instance.pausedUntil)
}

// leaving reports whether the VM is about to stop, by its registration, its agent or its
// own responses.
func (m *member) leaving() bool {
	return m.vm.Leaving || m.instance.leaving || m.report != nil && m.report.Draining
}

// suits reports whether the VM may serve a request.
func (m *member) suits(n *Requirements) bool {
	return n.AllowsSoftware(m.vm.Software) && !slices.Contains(n.Exclude, m.vm.ID)
}

// utilization returns the fraction of the VM's concurrency in use.
func (m *member) utilization() float64 {
	if m.report == nil || m.report.Concurrency == 0 {
		return 0
	}
	return float64(max(m.inFlight, m.report.Running+m.report.Waiting)) / float64(m.report.Concurrency)
}

// model returns the agent's report on a model, or nil.
func (m *member) model(name ident.Model) *wire.ModelReport { return m.models[name] }

// readiness returns how soon the VM could serve a model.
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

func (m *member) setReport(now time.Time, r *wire.Report) {
	m.report, m.reportedAt = r, now
	m.models = make(map[ident.Model]*wire.ModelReport, len(r.Models))
	for i := range r.Models {
		m.models[r.Models[i].Model] = &r.Models[i]
	}
}
