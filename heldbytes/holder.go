package heldbytes

import "time"

// Holder is a peer, usually a connection, for which bytes are held.
type Holder struct {
	urgency Urgency
	// known is set once a request has told the urgency.
	known bool
	bytes int64
	files int
	// stalled is set while the peer neither reads nor sends what it has to, and
	// stalledSince is when it last did.
	stalled      bool
	stalledSince time.Time
	// idle is set if the peer was last stalled without a request.
	idle bool
	// leaving is set once the peer is being disconnected. Its bytes are held until
	// Budget.Remove.
	leaving bool
	// index is the position in Budget.stalled.
	index int
	// chosen is set within Budget.choose.
	chosen bool
}

// Bytes returns the number of bytes held.
func (h *Holder) Bytes() int64 { return h.bytes }

// Idle reports whether the peer is stalled without a request.
func (h *Holder) Idle() bool { return h.stalled && h.idle }

// Leaving reports whether the peer is being disconnected.
func (h *Holder) Leaving() bool { return h.leaving }

// StalledFor returns for how long the peer has been stalled, or zero if it is not.
func (h *Holder) StalledFor(now time.Time) time.Duration {
	if !h.stalled {
		return 0
	}
	return now.Sub(h.stalledSince)
}

// before reports whether h is disconnected before o: the least urgent first, among them those
// without a request, and among these the one that has been stalled longest. A peer whose urgency
// is not known is the least urgent. If peers are disconnected that have just begun, new ones
// without a request come last: an ordinary caller is about to send its own.
func (h *Holder) before(o *Holder, justBegun bool) bool {
	if justBegun && h.idle != o.idle {
		return o.idle
	}
	if h.known != o.known {
		return o.known
	}
	if c := h.urgency.Compare(o.urgency); c != 0 {
		return c > 0
	}
	if h.idle != o.idle {
		return h.idle
	}
	return h.stalledSince.Before(o.stalledSince)
}
