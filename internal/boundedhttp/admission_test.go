package boundedhttp

import (
	"testing"
	"time"
)

// crowd drives an admission with a clock of its own.
type crowd struct {
	t   *testing.T
	a   *admission
	now time.Time
}

func newCrowd(t *testing.T, limit int) *crowd {
	return &crowd{t: t, a: newAdmission(limit), now: time.Unix(1000, 0)}
}

// peer opens a connection that has had a number of requests and now waits for its client.
func (c *crowd) peer(requests int) *peer {
	p := &peer{ready: func() bool { return false }, reset: func() {}}
	c.a.open(p)
	c.a.wait(p, c.now)
	for range requests {
		c.a.serve(p)
		c.a.wait(p, c.now)
	}
	c.now = c.now.Add(waitPatience / 100)
	return p
}

func (c *crowd) wantVictim(want *peer) {
	c.t.Helper()
	if got := c.a.victim(c.now); got != want {
		c.t.Fatalf("victim %p, want %p", got, want)
	}
}

// A crowd that keeps its connections open must not keep others out.
func TestLongestWaitingIsClosed(t *testing.T) {
	c := newCrowd(t, 4)
	first, second := c.peer(0), c.peer(1)
	c.peer(0)
	if c.a.full() {
		t.Fatal("full with three of four")
	}
	c.peer(0)
	if !c.a.full() {
		t.Fatal("not full")
	}
	c.wantVictim(nil) // None has had the time to send anything.
	c.now = first.since.Add(waitPatience)
	c.wantVictim(first)
	c.a.evict(first)
	if !c.a.full() || c.a.closing != 1 {
		t.Fatal("the place was given back before the server ended the connection")
	}
	c.a.wait(first, c.now)
	c.a.serve(first)
	c.a.remove(first)
	if c.a.full() || c.a.closing != 0 {
		t.Fatal("the place was not given back")
	}
	c.now = c.now.Add(time.Second)
	c.wantVictim(second)
}

// A probe that has arrived must not be lost because the server has not read it yet.
func TestReadyConnectionsAreNotClosed(t *testing.T) {
	c := newCrowd(t, 2)
	first, second := c.peer(0), c.peer(0)
	first.ready = func() bool { return true }
	c.now = c.now.Add(time.Second)
	c.wantVictim(second)
	c.a.remove(second)
	c.a.open(&peer{}) // The server has not begun to read it.
	c.wantVictim(nil)
}

// A crowd of newcomers must not displace the balancer's own connection, nor a crowd with
// several requests each all newcomers.
func TestRegularClientsKeepHalfOfThePlaces(t *testing.T) {
	c := newCrowd(t, 4)
	r1, r2 := c.peer(regularRequests), c.peer(regularRequests)
	n1, n2 := c.peer(0), c.peer(0)
	c.wantVictim(nil)
	c.now = c.now.Add(time.Second)
	c.wantVictim(n1)
	c.a.remove(n1)
	c.peer(regularRequests)
	c.now = c.now.Add(time.Second)
	c.wantVictim(r1)
	c.a.remove(r1)
	c.a.remove(n2)
	c.wantVictim(r2)
}

// A request that is being served must not be broken off, unless its client does not take
// the response.
func TestServedConnectionsAreClosedOnlyWhileTheirClientsDoNotRead(t *testing.T) {
	c := newCrowd(t, 2)
	p, q := c.peer(0), c.peer(0)
	c.a.serve(p)
	c.a.serve(q)
	c.now = c.now.Add(time.Hour)
	c.wantVictim(nil)
	q.writing.Store(c.now.UnixNano())
	c.wantVictim(nil)
	p.writing.Store(c.now.Add(time.Millisecond).UnixNano())
	c.now = c.now.Add(writePatience + time.Millisecond)
	c.wantVictim(q)
	q.writing.Store(0)
	c.wantVictim(p)
}

// A client that owes the rest of a body must not keep its place, nor one whose request runs
// after that lose it.
func TestOwedBodyCanBeClosed(t *testing.T) {
	c := newCrowd(t, 2)
	p, q := c.peer(0), c.peer(0)
	c.a.serve(p)
	c.a.wait(p, c.now)
	c.a.serve(q)
	c.now = c.now.Add(waitPatience)
	c.wantVictim(p)
	c.a.received(p)
	c.wantVictim(nil)
	c.a.wait(p, c.now)
	c.a.end(p)
	c.now = c.now.Add(time.Hour)
	c.wantVictim(nil)
}

// When the server has not read what many clients have sent, it must get on with that rather
// than look at them all again for each new connection.
func TestServerGetsOnWithReadyConnections(t *testing.T) {
	c := newCrowd(t, 4*maxScanned)
	looked := 0
	for range 2 * maxScanned {
		c.peer(0).ready = func() bool { looked++; return true }
	}
	c.peer(0)
	c.now = c.now.Add(time.Second)
	c.wantVictim(nil)
	if looked > maxScanned {
		t.Fatalf("looked at %d connections", looked)
	}
}
