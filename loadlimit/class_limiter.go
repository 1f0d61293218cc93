package loadlimit

import (
	"container/heap"
	"slices"
	"time"
)

// loadTimeWeight is the weight of a new load time in the running mean.
const loadTimeWeight = 0.2

// classLimiter holds the permits and the queue of one class.
type classLimiter struct {
	maxPermits int
	waiting    queue
	permits    map[PermitID]permit
	// meanLoadTime is the running mean of load times.
	meanLoadTime time.Duration
}

func newClassLimiter(maxPermits int, meanLoadTime time.Duration) *classLimiter {
	return &classLimiter{maxPermits: maxPermits, permits: make(map[PermitID]permit), meanLoadTime: meanLoadTime}
}

// canGrant reports whether a permit is available and a request is queued.
func (c *classLimiter) canGrant() bool { return len(c.waiting) > 0 && len(c.permits) < c.maxPermits }

// contains reports whether a request is queued or holds a permit.
func (c *classLimiter) contains(id PermitID) bool {
	if _, ok := c.permits[id]; ok {
		return true
	}
	return c.find(id) >= 0
}

// find returns the index of a queued request, or -1.
func (c *classLimiter) find(id PermitID) int {
	return slices.IndexFunc(c.waiting, func(w waiter) bool { return w.req.ID == id })
}

// grant issues a permit to the most urgent queued request.
func (c *classLimiter) grant(now time.Time) PermitID {
	w := heap.Pop(&c.waiting).(waiter)
	c.permits[w.req.ID] = permit{req: w.req, grantedAt: now, lastHeartbeat: now}
	return w.req.ID
}

// remove returns a permit or withdraws a queued request. It returns how long
// the permit was held, and false if there was none.
func (c *classLimiter) remove(id PermitID, now time.Time) (time.Duration, bool) {
	if p, ok := c.permits[id]; ok {
		delete(c.permits, id)
		return now.Sub(p.grantedAt), true
	}
	if i := c.find(id); i >= 0 {
		heap.Remove(&c.waiting, i)
	}
	return 0, false
}

// updateMean adds a load time to the running mean.
func (c *classLimiter) updateMean(took time.Duration) {
	c.meanLoadTime += time.Duration(loadTimeWeight * float64(took-c.meanLoadTime))
}

// expireWaiters removes the queued requests whose deadline has passed.
func (c *classLimiter) expireWaiters(now time.Time) []Decision {
	var out []Decision
	kept := c.waiting[:0]
	for _, w := range c.waiting {
		if !w.req.Deadline.IsZero() && !now.Before(w.req.Deadline) {
			out = append(out, Decision{ID: w.req.ID, Verdict: TooLate})
			continue
		}
		kept = append(kept, w)
	}
	c.waiting = kept
	heap.Init(&c.waiting)
	return out
}

// expirePermits removes the permits that had no heartbeat for the expiry time.
func (c *classLimiter) expirePermits(now time.Time, expiry time.Duration) []Decision {
	var out []Decision
	for id, p := range c.permits {
		if now.Sub(p.lastHeartbeat) >= expiry {
			delete(c.permits, id)
			out = append(out, Decision{ID: id, Verdict: Expired})
		}
	}
	slices.SortFunc(out, func(a, b Decision) int { return compareIDs(a.ID, b.ID) })
	return out
}

func compareIDs(a, b PermitID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// ahead returns the number of queued requests that come before a request.
func (c *classLimiter) ahead(r Request) int {
	probe := queue{{req: r, seq: maxSeq}, {}}
	n := 0
	for _, w := range c.waiting {
		probe[1] = w
		if probe.Less(1, 0) {
			n++
		}
	}
	return n
}

// maxSeq comes after every sequence number in use.
const maxSeq = ^uint64(0)
