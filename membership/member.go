package membership

import (
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/wire"
)

// Member is what is known of one VM instance. The report is shared and must not
// be changed.
type Member struct {
	ID       ident.VM
	Role     metastore.Role
	Region   ident.Region
	Zone     ident.Zone
	Address  string
	Upstream ident.Upstream
	// Leaving is set for good by the list.
	Leaving bool
	// Replaced is set for good when another instance took over the address.
	Replaced bool
	Link     Link
	// Report is the newest report, or nil if there is none yet.
	Report *wire.Report

	listed    bool
	firstSeen time.Time
	retired   map[ident.Incarnation]struct{}
}

// Usable tells whether new work may go to the VM. Its own word that it drains
// holds until a later word of its own withdraws it.
func (m *Member) Usable() bool {
	return m.Report != nil && !m.Report.Draining && !m.Leaving && !m.Replaced && m.Link != LinkDown
}

// newer tells whether r supersedes the report at hand. Of two incarnations the
// one that started later is the newer; a VM's own connection decides between
// equals. A superseded incarnation never comes back.
func (m *Member) newer(r *wire.Report, direct bool) bool {
	if _, old := m.retired[r.Incarnation]; old {
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

// take applies a report that newer has accepted.
func (m *Member) take(r *wire.Report) {
	if m.Report != nil && m.Report.Incarnation != r.Incarnation {
		if m.retired == nil {
			m.retired = make(map[ident.Incarnation]struct{})
		}
		m.retired[m.Report.Incarnation] = struct{}{}
	}
	m.Report = r
	m.Role, m.Region, m.Zone, m.Upstream = r.Role, r.Region, r.Zone, r.Upstream
	if !m.listed {
		m.Address = r.Address
	}
}
