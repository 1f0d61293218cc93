package boundedhttp

import (
	"container/list"
	"time"
)

const (
	// waitPatience is how long a connection may wait for its client before it can be closed
	// to make room.
	waitPatience = time.Millisecond
	// writePatience is the same for a client that does not take its response.
	writePatience = 250 * time.Millisecond
	// maxScanned is the number of waiting connections that are considered at a time.
	maxScanned = 8
	// regularRequests is the number of served requests that make a client a regular one.
	regularRequests = 2
	// regularShare is the divisor for the part of the places that regular clients keep
	// while newcomers need room.
	regularShare = 2
)

// admission decides which connection is closed when all places are taken: the one that has
// waited for its client longest. Clients that have been served several times, such as a
// load balancer that keeps its connection, keep up to half of the places, so that a crowd
// of newcomers can't displace them, and they can't displace a newcomer.
//
// It does no I/O and reads no clock.
type admission struct {
	limit int
	peers map[*peer]struct{}
	// newcomers and regulars are the waiting peers, the longest waiting first.
	newcomers, regulars *list.List
	// closing is the number of peers in that phase.
	closing int
}

func newAdmission(limit int) *admission {
	return &admission{limit: limit, peers: make(map[*peer]struct{}), newcomers: list.New(), regulars: list.New()}
}

// full reports whether a connection has to end before another one can be opened.
func (a *admission) full() bool { return len(a.peers) >= a.limit }

// open takes a place.
func (a *admission) open(p *peer) {
	p.phase = starting
	a.peers[p] = struct{}{}
}

// wait notes that the server waits for p's client from now on: for the rest of a request or
// for the next one.
func (a *admission) wait(p *peer, now time.Time) {
	if p.phase == closing {
		return
	}
	a.leaveQueue(p)
	p.phase, p.since, p.queue = waiting, now, a.newcomers
	if p.requests >= regularRequests {
		p.queue = a.regulars
	}
	p.place = p.queue.PushBack(p)
}

// serve notes that a request of p is being served.
func (a *admission) serve(p *peer) {
	a.leave(p, serving)
	p.requests++
}

// received notes that the body which p's client owed has come.
func (a *admission) received(p *peer) { a.leave(p, serving) }

// end notes that the server is about to end the connection.
func (a *admission) end(p *peer) { a.leave(p, ending) }

// leave changes p's phase to one that it can't be closed in at once.
func (a *admission) leave(p *peer, to phase) {
	if p.phase != closing {
		a.leaveQueue(p)
		p.phase = to
	}
}

// evict notes that p was closed to make room. It keeps its place until remove.
func (a *admission) evict(p *peer) {
	a.leaveQueue(p)
	p.phase = closing
	a.closing++
}

// remove gives a place back.
func (a *admission) remove(p *peer) {
	a.leaveQueue(p)
	if p.phase == closing {
		a.closing--
	}
	delete(a.peers, p)
}

func (a *admission) leaveQueue(p *peer) {
	if p.queue == nil {
		return
	}
	p.queue.Remove(p.place)
	p.queue, p.place = nil, nil
}

// victim returns the connection to close, or nil if there is none at this time.
func (a *admission) victim(now time.Time) *peer {
	first, second := a.newcomers, a.regulars
	if a.regulars.Len() > a.limit/regularShare {
		first, second = second, first
	}
	switch {
	case first.Len() > 0:
		return longestWaiting(first, now)
	case second.Len() > 0:
		return longestWaiting(second, now)
	default:
		return a.longestWriting(now)
	}
}

// longestWaiting leaves out connections whose client has sent something: the server is just
// not there yet. If the first ones are all of that kind, it returns nil to let the server go
// on.
func longestWaiting(queue *list.List, now time.Time) *peer {
	e := queue.Front()
	for range maxScanned {
		if e == nil {
			return nil
		}
		p := e.Value.(*peer)
		if now.Sub(p.since) < waitPatience {
			return nil
		}
		if !p.ready() {
			return p
		}
		e = e.Next()
	}
	return nil
}

func (a *admission) longestWriting(now time.Time) *peer {
	var longest *peer
	began := now.Add(-writePatience).UnixNano()
	for p := range a.peers {
		if w := p.writing.Load(); p.phase == serving && w != 0 && w <= began {
			longest, began = p, w
		}
	}
	return longest
}
