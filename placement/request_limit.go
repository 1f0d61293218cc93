package placement

import (
	"time"

	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/requestlimit"
	"github.com/laureltally/laureltally/serving"
)

// assumedRouters is the number of routers that are assumed to share a limit while no agent
// has reported it.
const assumedRouters = 16

// RequestLimitNamed takes the limit that a server named in a response, or that it named
// none, to a request sent at a time. It returns what other routers have to know.
func (b *Balancer) RequestLimitNamed(now, sentAt time.Time, vm *fleet.VM, l serving.RequestLimit) (requestlimit.Statement, bool) {
	s := requestlimit.Statement{Server: vm.ServerStart(), Limit: l, SaidAt: now}
	if !l.Named {
		// The response may have been written before the server named its limit.
		s.SaidAt = sentAt
	}
	return s, b.limits.Put(now, s)
}

// TakeRequestLimit takes what another router has learned.
func (b *Balancer) TakeRequestLimit(now time.Time, s requestlimit.Statement) { b.limits.Put(now, s) }

// RequestLimits returns the limits in force.
func (b *Balancer) RequestLimits(now time.Time) []requestlimit.Statement { return b.limits.Limits(now) }

// TakeShare takes a request from this router's share in the limit of a VM, for a request
// that is sent without a reservation. It returns false if none is due.
func (b *Balancer) TakeShare(now time.Time, vm ident.VM) bool {
	m := b.members[vm]
	if m == nil {
		return true
	}
	if b.shareWait(now, m) > 0 {
		return false
	}
	m.instance.share.Take(now, b.sharingRouters(now), b.hasAgent(m), b.opts.Rand)
	return true
}

// limitWait returns the time until the limit of a VM admits a request. Agents keep to the
// limits of their VMs with their reservations.
func (b *Balancer) limitWait(now time.Time, m *member, n *Requirements) time.Duration {
	if n.Model != "" && m.fresh(now, b.opts.ReportTimeout) {
		return 0
	}
	return b.shareWait(now, m)
}

func (b *Balancer) shareWait(now time.Time, m *member) time.Duration {
	m.instance.share.Set(b.limits.Limit(now, m.vm.ServerStart()))
	if !m.instance.share.Limit().Named {
		return 0
	}
	return m.instance.share.Wait(now, b.sharingRouters(now), b.hasAgent(m), b.opts.Rand)
}

// hasAgent reports whether a VM has an agent, which other routers may reach.
func (b *Balancer) hasAgent(m *member) bool {
	s := b.services[m.vm.Service]
	return s != nil && s.Engine != nil
}

// sharingRouters returns the number of routers that share the VMs, as agents last reported
// it.
func (b *Balancer) sharingRouters(now time.Time) int {
	if n := b.Routers(now); n > 0 {
		b.lastRouters = n
	}
	return b.lastRouters
}
