package loadlimit

import (
	"container/heap"
	"slices"
	"time"
)

// durationGain is the weight of a new load time in the running mean.
const durationGain = 0.2

// lane is the places and the queue of one class.
type lane struct {
	places  int
	waiting queue
	held    map[PermitID]holder
	// expected is the running mean of load times.
	expected time.Duration
}

func newLane(places int, expected time.Duration) *lane {
	return &lane{places: places, held: make(map[PermitID]holder), expected: expected}
}

// free tells whether a place is free and somebody waits for it.
func (l *lane) free() bool { return len(l.waiting) > 0 && len(l.held) < l.places }

// known tells whether a ticket waits or holds a place.
func (l *lane) known(id PermitID) bool {
	if _, ok := l.held[id]; ok {
		return true
	}
	return l.find(id) >= 0
}

// find returns the position of a waiter, or -1.
func (l *lane) find(id PermitID) int {
	return slices.IndexFunc(l.waiting, func(w waiter) bool { return w.req.ID == id })
}

// grant gives a place to the most urgent waiter.
func (l *lane) grant(now time.Time) PermitID {
	w := heap.Pop(&l.waiting).(waiter)
	l.held[w.req.ID] = holder{req: w.req, granted: now, heard: now}
	return w.req.ID
}

// release gives a place back or withdraws a waiter. It returns how long the
// place was held, and false if none was.
func (l *lane) release(id PermitID, now time.Time) (time.Duration, bool) {
	if h, ok := l.held[id]; ok {
		delete(l.held, id)
		return now.Sub(h.granted), true
	}
	if i := l.find(id); i >= 0 {
		heap.Remove(&l.waiting, i)
	}
	return 0, false
}

// learn moves the expected load time towards one that was seen.
func (l *lane) learn(took time.Duration) {
	l.expected += time.Duration(durationGain * float64(took-l.expected))
}

// expireWaiters removes the waiters whose deadline has passed.
func (l *lane) expireWaiters(now time.Time) []Decision {
	var out []Decision
	kept := l.waiting[:0]
	for _, w := range l.waiting {
		if !w.req.Deadline.IsZero() && !now.Before(w.req.Deadline) {
			out = append(out, Decision{ID: w.req.ID, Verdict: TooLate})
			continue
		}
		kept = append(kept, w)
	}
	l.waiting = kept
	heap.Init(&l.waiting)
	return out
}

// expireHolders removes the holders that were not heard of for too long.
func (l *lane) expireHolders(now time.Time, expiry time.Duration) []Decision {
	var out []Decision
	for id, h := range l.held {
		if now.Sub(h.heard) >= expiry {
			delete(l.held, id)
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

// ahead returns how many waiters come before a request.
func (l *lane) ahead(r Request) int {
	probe := queue{{req: r, seq: noSeq}, {}}
	n := 0
	for _, w := range l.waiting {
		probe[1] = w
		if probe.Less(1, 0) {
			n++
		}
	}
	return n
}

// noSeq comes after every number of arrival.
const noSeq = ^uint64(0)
