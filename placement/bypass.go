package placement

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// bypassTTL is how long an answer to a request that was sent past a silent agent proves
// that the VM runs.
const bypassTTL = time.Second

// bypass is what a router knows of a VM to which it sends requests without a reservation
// while its agent is silent. The agent may have ended, and the VM goes on without it, or the
// whole VM may stand still, which only an answer tells.
type bypass struct {
	// unanswered counts the requests under way that have no answer yet.
	unanswered int
	// answeredAt is when the newest answer began.
	answeredAt time.Time
}

// confirmed reports whether the VM has shown that it runs.
func (p *bypass) confirmed(now time.Time) bool { return now.Sub(p.answeredAt) < bypassTTL }

// allows reports whether another request may be sent.
func (p *bypass) allows(now time.Time) bool { return p.unanswered == 0 || p.confirmed(now) }

// agentSilent reports whether a VM has an agent that does not report.
func (b *Balancer) agentSilent(now time.Time, m *member) bool {
	return b.hasAgent(m) && !m.fresh(now, b.opts.ReportTimeout)
}

// TakeBypass reports whether a request may be sent to a VM whose agent has not replied, and
// takes it from this router's share in the VM's limit.
func (b *Balancer) TakeBypass(now time.Time, vm ident.VM) bool {
	m := b.members[vm]
	return m == nil || m.bypass.allows(now) && b.TakeShare(now, vm)
}

// BypassStarted counts a request that is sent past a silent agent.
func (b *Balancer) BypassStarted(vm ident.VM) {
	if m := b.members[vm]; m != nil {
		m.bypass.unanswered++
	}
}

// BypassAnswered records that such a request gets its answer, or has ended without one.
func (b *Balancer) BypassAnswered(now time.Time, vm ident.VM, answered bool) {
	m := b.members[vm]
	if m == nil {
		return
	}
	m.bypass.unanswered = max(0, m.bypass.unanswered-1)
	if answered {
		m.bypass.answeredAt = now
	}
}
