package agent

import (
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// tiers remembers when the tier of each model changed, so that all routers can
// reckon with the same tier however old their reports are. It is for one
// goroutine.
type tiers map[ident.Model]tierChange

type tierChange struct {
	now, before engine.Tier
	since       time.Time
}

// note completes a report with the change of the tier.
func (t tiers) note(now time.Time, r *wire.ModelReport) {
	c, seen := t[r.Model]
	if !seen {
		c = tierChange{now: r.Tier}
	} else if c.now != r.Tier {
		c = tierChange{now: r.Tier, before: c.now, since: now}
	}
	t[r.Model] = c
	if !c.since.IsZero() {
		r.PreviousTier, r.TierSince = c.before, c.since.UnixMilli()
	}
}
