package agent

import (
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// tierHistory stores when the tier of each model last changed, so that all
// routers can use the same tier whatever the age of their reports. It must be
// used by one goroutine.
type tierHistory map[ident.Model]tierChange

type tierChange struct {
	now, before engine.Tier
	since       time.Time
}

// annotate sets the tier change in a model's report.
func (t tierHistory) annotate(now time.Time, r *wire.ModelReport) {
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
