package heldbytes

import "time"

// choice says which peers may be disconnected, and for what.
type choice struct {
	// self is the peer that needs the room; it is not chosen.
	self *Holder
	// bytes and files are what has to be given back.
	bytes int64
	files int
	// minStall is how long a peer must have been stalled. Any is set if it has to be no time at
	// all, since the budget is exceeded by more than hardShare.
	minStall time.Duration
	any      bool
	// most, if set, spares requests that are more urgent.
	most *Urgency
}

func (c choice) allows(now time.Time, h *Holder) bool {
	if h == c.self || now.Sub(h.stalledSince) < c.minStall {
		return false
	}
	return c.most == nil || h.idle || h.urgency.Compare(*c.most) >= 0
}
