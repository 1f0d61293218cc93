package router

import "context"

// heldKey is the key of a context's heldBodies.
type heldKey struct{}

// heldBodies is what one request holds of the budget. Its methods do nothing on nil, which
// means a request without a budget. It is used by one goroutine at a time.
type heldBodies struct {
	budget *bodyBudget
	// bytes is what the request holds, and reserved the part of it that the budget counts.
	bytes, reserved int64
}

// heldBy returns what the request of ctx holds, or nil.
func heldBy(ctx context.Context) *heldBodies {
	h, _ := ctx.Value(heldKey{}).(*heldBodies)
	return h
}

// add reports whether the request may hold n more bytes, and counts them.
func (h *heldBodies) add(n int) bool {
	if h == nil {
		return true
	}
	if beyond := h.bytes + int64(n) - freeBodyBytes - h.reserved; beyond > 0 {
		if !h.budget.reserve(beyond) {
			return false
		}
		h.reserved += beyond
	}
	h.bytes += int64(n)
	return true
}

// release gives all bytes back.
func (h *heldBodies) release() {
	h.budget.release(h.reserved)
	h.bytes, h.reserved = 0, 0
}
