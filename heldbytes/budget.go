package heldbytes

import "time"

// MinStall is how long a peer must have been stalled before it can be disconnected. It is
// above the pause that the loss of one packet causes.
const MinStall = 250 * time.Millisecond

// hardShare is the fraction of the budget by which it may be exceeded. Beyond that, peers
// are disconnected that have been stalled for less than MinStall: a thousand callers that
// connected within 0.3 s exceeded a budget of 64 MB by 95 MB before any of them had been
// stalled for so long.
const hardShare = 0.25

// drainingShare is the fraction of the budget that peers being disconnected may hold before
// Draining. On a busy machine they held 40 MB beside a full budget of 64 MB.
const drainingShare = 0.1

// Budget is the number of bytes that may be held for all peers together.
type Budget struct {
	limit, held int64
	// leaving is the part of held that belongs to peers being disconnected.
	leaving int64
	// stalled holds the peers that are stalled and not being disconnected, each at its
	// Holder.index. It is scanned when the budget is used up.
	stalled []*Holder
}

// NewBudget returns a Budget of a number of bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit}
}

// Limit returns the size of the budget.
func (b *Budget) Limit() int64 { return b.limit }

// Held returns the number of bytes held, including those of peers being disconnected.
func (b *Budget) Held() int64 { return b.held }

// Reserve takes n bytes for a peer if they fit. If they don't, but would once stalled
// peers that are at most as urgent as h have been disconnected, it takes them as well and
// returns these peers, which the caller must disconnect. Otherwise nobody is disconnected
// and ok is false.
//
// It is for bytes that can be refused or left at the other end: large bodies, buffers for
// peers that don't read.
func (b *Budget) Reserve(now time.Time, h *Holder, n int64) (disconnect []*Holder, ok bool) {
	excess := b.excess() + n
	if excess > 0 {
		var freed int64
		disconnect, freed = b.choose(now, h, excess, MinStall, &h.urgency)
		if freed < excess {
			return nil, false
		}
		b.leave(disconnect)
	}
	b.add(h, n)
	return disconnect, true
}

// Hold takes n bytes for a peer, also beyond the limit, and returns the stalled peers that
// the caller must disconnect for it. It is for bytes without which no request can be
// served at all: connections, small bodies, events.
func (b *Budget) Hold(now time.Time, h *Holder, n int64) (disconnect []*Holder) {
	b.add(h, n)
	return b.trim(now, h)
}

// Trim returns the stalled peers that the caller must disconnect because the budget is
// exceeded: those that Hold found to be stalled for too short a time.
func (b *Budget) Trim(now time.Time) (disconnect []*Holder) { return b.trim(now, nil) }

// Draining reports whether peers being disconnected still hold a good part of the budget.
// Nothing new should be begun until their connections have ended.
func (b *Budget) Draining() bool { return float64(b.leaving) > drainingShare*float64(b.limit) }

// Exceeded reports whether more is held than the limit, not counting peers being
// disconnected.
func (b *Budget) Exceeded() bool { return b.excess() > 0 }

func (b *Budget) trim(now time.Time, self *Holder) (disconnect []*Holder) {
	excess := b.excess()
	if excess <= 0 {
		return nil
	}
	disconnect, _ = b.choose(now, self, excess, MinStall, nil)
	b.leave(disconnect)
	if beyond := b.excess() - int64(hardShare*float64(b.limit)); beyond > 0 {
		more, _ := b.choose(now, self, beyond, 0, nil)
		b.leave(more)
		disconnect = append(disconnect, more...)
	}
	return disconnect
}

// Release gives n bytes back.
func (b *Budget) Release(h *Holder, n int64) { b.add(h, -n) }

// Remove gives all bytes of a peer back.
func (b *Budget) Remove(h *Holder) {
	b.add(h, -h.bytes)
	b.Progress(h)
}

// Stall records that a peer has not made progress since the given time.
func (b *Budget) Stall(h *Holder, since time.Time) {
	h.stalledSince = since
	if !h.stalled && !h.leaving {
		h.index = len(b.stalled)
		b.stalled = append(b.stalled, h)
	}
	h.stalled = true
}

// Progress records that a peer reads, or has sent what it had to.
func (b *Budget) Progress(h *Holder) {
	if h.stalled && !h.leaving {
		b.unlist(h)
	}
	h.stalled = false
}

// SetUrgency sets the urgency of the request that a peer's bytes are held for.
func (b *Budget) SetUrgency(h *Holder, u Urgency) { h.urgency = u }

func (b *Budget) add(h *Holder, n int64) {
	h.bytes += n
	b.held += n
	if h.leaving {
		b.leaving += n
	}
}

// excess returns by how much the budget is exceeded, not counting peers being
// disconnected; negative if bytes are free.
func (b *Budget) excess() int64 { return b.held - b.leaving - b.limit }

// choose returns the peers to disconnect so that need bytes are given back, and how many
// they give. They have been stalled for minStall. It chooses neither self nor, if most is
// set, peers more urgent than that.
func (b *Budget) choose(now time.Time, self *Holder, need int64, minStall time.Duration, most *Urgency) (chosen []*Holder, freed int64) {
	for freed < need {
		var first *Holder
		for _, h := range b.stalled {
			if h == self || h.chosen || now.Sub(h.stalledSince) < minStall || most != nil && h.urgency.Compare(*most) < 0 {
				continue
			}
			if first == nil || h.before(first) {
				first = h
			}
		}
		if first == nil {
			break
		}
		first.chosen = true
		chosen = append(chosen, first)
		freed += first.bytes
	}
	for _, h := range chosen {
		h.chosen = false
	}
	return chosen, freed
}

func (b *Budget) leave(holders []*Holder) {
	for _, h := range holders {
		b.unlist(h)
		h.leaving = true
		b.leaving += h.bytes
	}
}

// unlist removes a listed peer from stalled.
func (b *Budget) unlist(h *Holder) {
	last := len(b.stalled) - 1
	b.stalled[h.index] = b.stalled[last]
	b.stalled[h.index].index = h.index
	b.stalled[last] = nil
	b.stalled = b.stalled[:last]
}
