package membership

import (
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/wire"
)

// Member is the known state of one VM instance. The report is shared and must
// not be changed.
type Member struct {
	ID       ident.VM
	Role     metastore.Role
	Region   ident.Region
	Zone     ident.Zone
	Address  string
	Upstream ident.Upstream
	// Leaving is set when the list shows the VM as leaving, and never reset.
	Leaving bool
	// Replaced is set when another instance took over the address, and never
	// reset.
	Replaced bool
	Link     Link
	// Report is the newest report, or nil if there is none yet.
	Report *wire.Report

	listed                 bool
	firstSeen              time.Time
	supersededIncarnations map[ident.Incarnation]struct{}
}

// Usable reports whether new work may be sent to the VM. A draining VM becomes
// usable again only by a later report of its own.
func (m *Member) Usable() bool {
	return m.Report != nil && !m.Report.Draining && !m.Leaving && !m.Replaced && m.Link != LinkDown
}

// supersedesReport reports whether r supersedes the current report. Within an
// incarnation the higher sequence number is newer, and of two incarnations the
// one that started later. If both started at the same time, only a report
// received directly from the VM supersedes the other. A superseded incarnation
// is never accepted again.
func (m *Member) supersedesReport(r *wire.Report, direct bool) bool {
	if _, superseded := m.supersededIncarnations[r.Incarnation]; superseded {
		return false
	}
	switch {
	case m.Report == nil:
		return true
	case r.Incarnation == m.Report.Incarnation:
		return r.Seq > m.Report.Seq
	case r.Started != m.Report.Started:
		return r.Started > m.Report.Started
	default:
		return direct
	}
}

// applyReport applies a report that supersedesReport has accepted.
func (m *Member) applyReport(r *wire.Report) {
	if m.Report != nil && m.Report.Incarnation != r.Incarnation {
		if m.supersededIncarnations == nil {
			m.supersededIncarnations = make(map[ident.Incarnation]struct{})
		}
		m.supersededIncarnations[m.Report.Incarnation] = struct{}{}
	}
	m.Report = r
	m.Role, m.Region, m.Zone, m.Upstream = r.Role, r.Region, r.Zone, r.Upstream
	if !m.listed {
		m.Address = r.Address
	}
}
