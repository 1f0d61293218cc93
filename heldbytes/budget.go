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

// spareShare is the fraction of the budget that may be held with what only makes a peer faster.
const spareShare = 0.75

// minSendRate is the rate, in bytes a second, at which a peer has to send what it owes so as not
// to be stalled. A peer that sends a byte now and then would otherwise never be disconnected.
const minSendRate = 32 << 10

// Budget is the number of bytes, and of descriptors, that may be held for all peers together.
type Budget struct {
	limit, held int64
	// leaving is the part of held that belongs to peers being disconnected.
	leaving int64
	// maxFiles is the number of descriptors that may be held; zero means any.
	maxFiles, files, filesLeaving int
	// stalled holds the peers that are stalled and not being disconnected, each at its
	// Holder.index. It is scanned when the budget is used up.
	stalled []*Holder
}

// NewBudget returns a Budget of a number of bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit}
}

// SetMaxFiles sets how many descriptors may be held; zero means any number.
func (b *Budget) SetMaxFiles(n int) { b.maxFiles = n }

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
		c := choice{self: h, bytes: excess, minStall: MinStall, most: &h.urgency}
		disconnect, freed = b.choose(now, c)
		if freed < excess {
			return nil, false
		}
		b.leave(disconnect)
	}
	b.add(h, n)
	return disconnect, true
}

// Spare takes n bytes for a peer if no more than spareShare is held then. It is for what only
// makes a peer faster.
func (b *Budget) Spare(h *Holder, n int64) bool {
	if float64(b.held+n) > spareShare*float64(b.limit) {
		return false
	}
	b.add(h, n)
	return true
}

// Hold takes n bytes for a peer, also beyond the limit, and returns the stalled peers that
// the caller must disconnect for it. It is for bytes without which no request can be
// served at all: connections, small bodies, events.
func (b *Budget) Hold(now time.Time, h *Holder, n int64) (disconnect []*Holder) {
	b.add(h, n)
	return b.trim(now, h)
}

// Admit takes n bytes and descriptors for something that a peer begins: a connection, a request.
// They may exceed the limit of bytes by hardShare, but not that of descriptors. Beyond that, when
// nobody is left to disconnect, nothing is taken and ok is false. It returns the stalled peers
// that the caller must disconnect in any case.
func (b *Budget) Admit(now time.Time, h *Holder, n int64, files int) (disconnect []*Holder, ok bool) {
	b.add(h, n)
	b.addFiles(h, files)
	disconnect = b.trim(now, h)
	if b.beyond() > 0 || b.filesExcess() > 0 {
		b.add(h, -n)
		b.addFiles(h, -files)
		return disconnect, false
	}
	return disconnect, true
}

// Trim returns the stalled peers that the caller must disconnect because the budget is
// exceeded: those that Hold found to be stalled for too short a time.
func (b *Budget) Trim(now time.Time) (disconnect []*Holder) { return b.trim(now, nil) }

// Draining reports whether peers being disconnected still hold a good part of the budget.
// Nothing new should be begun until their connections have ended.
func (b *Budget) Draining() bool {
	return float64(b.leaving) > drainingShare*float64(b.limit) || float64(b.filesLeaving) > drainingShare*float64(b.maxFiles)
}

// Files returns the number of descriptors held.
func (b *Budget) Files() int { return b.files }

// MaxFiles returns how many descriptors may be held; zero means any number.
func (b *Budget) MaxFiles() int { return b.maxFiles }

// Exceeded reports whether more is held than the limit, not counting peers being
// disconnected.
func (b *Budget) Exceeded() bool { return b.excess() > 0 }

func (b *Budget) trim(now time.Time, self *Holder) (disconnect []*Holder) {
	for _, c := range []choice{
		{self: self, bytes: b.excess(), files: b.filesExcess(), minStall: MinStall},
		{self: self, bytes: b.beyond(), files: b.filesExcess(), any: true},
	} {
		if c.any {
			// The first choice may have made room.
			c.bytes, c.files = b.beyond(), b.filesExcess()
		}
		if c.bytes > 0 || c.files > 0 {
			chosen, _ := b.choose(now, c)
			b.leave(chosen)
			disconnect = append(disconnect, chosen...)
		}
	}
	return disconnect
}

// Release gives n bytes back.
func (b *Budget) Release(h *Holder, n int64) { b.add(h, -n) }

// ReleaseFiles gives n descriptors back.
func (b *Budget) ReleaseFiles(h *Holder, n int) { b.addFiles(h, -n) }

// Remove gives everything of a peer back.
func (b *Budget) Remove(h *Holder) {
	b.add(h, -h.bytes)
	b.addFiles(h, -h.files)
	b.Progress(h)
}

// Stall records that a peer has not made progress since the given time: it leaves a response
// unread, or owes the rest of a request's body.
func (b *Budget) Stall(h *Holder, since time.Time) { b.stall(h, since, false) }

// Idle records that a peer has no request since the given time. Disconnecting it loses none: it
// has sent nothing, or owes the rest of a header.
func (b *Budget) Idle(h *Holder, since time.Time) { b.stall(h, since, true) }

// Received records that a stalled peer has sent n bytes of what it owes. At minSendRate it
// counts as if it had not been stalled at all.
func (b *Budget) Received(now time.Time, h *Holder, n int) {
	if !h.stalled {
		return
	}
	h.stalledSince = h.stalledSince.Add(time.Duration(n) * time.Second / minSendRate)
	if h.stalledSince.After(now) {
		h.stalledSince = now
	}
}

func (b *Budget) stall(h *Holder, since time.Time, idle bool) {
	h.stalledSince, h.idle = since, idle
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
func (b *Budget) SetUrgency(h *Holder, u Urgency) { h.urgency, h.known = u, true }

func (b *Budget) add(h *Holder, n int64) {
	h.bytes += n
	b.held += n
	if h.leaving {
		b.leaving += n
	}
}

func (b *Budget) addFiles(h *Holder, n int) {
	h.files += n
	b.files += n
	if h.leaving {
		b.filesLeaving += n
	}
}

// excess returns by how much the budget is exceeded, not counting peers being
// disconnected; negative if bytes are free.
func (b *Budget) excess() int64 { return b.held - b.leaving - b.limit }

// beyond returns by how much the budget is exceeded by more than hardShare.
func (b *Budget) beyond() int64 { return b.excess() - int64(hardShare*float64(b.limit)) }

// filesExcess returns by how much the limit of descriptors is exceeded, not counting peers being
// disconnected.
func (b *Budget) filesExcess() int {
	if b.maxFiles == 0 {
		return 0
	}
	return b.files - b.filesLeaving - b.maxFiles
}

// choose returns the peers to disconnect, and how many bytes they give.
func (b *Budget) choose(now time.Time, c choice) (chosen []*Holder, freed int64) {
	files := 0
	for freed < c.bytes || files < c.files {
		var first *Holder
		for _, h := range b.stalled {
			if h.chosen || !c.allows(now, h) {
				continue
			}
			if first == nil || h.before(first, c.any) {
				first = h
			}
		}
		if first == nil {
			break
		}
		first.chosen = true
		chosen = append(chosen, first)
		freed += first.bytes
		files += first.files
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
		b.filesLeaving += h.files
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
