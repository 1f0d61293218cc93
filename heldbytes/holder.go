package heldbytes

import "time"

// Holder is a peer, usually a connection, for which bytes are held.
type Holder struct {
	urgency Urgency
	bytes   int64
	// stalled is set while the peer neither reads nor sends what it has to, and
	// stalledSince is when it last did.
	stalled      bool
	stalledSince time.Time
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

// StalledFor returns for how long the peer has been stalled, or zero if it is not.
func (h *Holder) StalledFor(now time.Time) time.Duration {
	if !h.stalled {
		return 0
	}
	return now.Sub(h.stalledSince)
}

// before reports whether h is disconnected before o: the least urgent first, and among
// them the one that has been stalled longest.
func (h *Holder) before(o *Holder) bool {
	if c := h.urgency.Compare(o.urgency); c != 0 {
		return c > 0
	}
	return h.stalledSince.Before(o.stalledSince)
}
