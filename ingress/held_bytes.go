package ingress

import (
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/heldbytes"
)

const (
	// smallBodyBytes is the size up to which a request body is read also when the budget
	// is used up. It holds a prompt of 5,000 tokens, the largest usual one.
	smallBodyBytes = 64 << 10
	// bodiesRetryAfter is when a refused body may be sent again. Stalled callers can be
	// disconnected after heldbytes.MinStall.
	bodiesRetryAfter = 4 * heldbytes.MinStall
	// maxAcceptDelay bounds the time for which a new connection waits until the connections
	// of disconnected callers have ended, and acceptPoll is the interval of the checks.
	maxAcceptDelay = 100 * time.Millisecond
	acceptPoll     = 2 * time.Millisecond
)

// heldBytes counts what the process holds for callers, against a budget. It is safe for
// concurrent use.
type heldBytes struct {
	logger  log.Interface
	metrics *metrics
	now     func() time.Time

	mu     sync.Mutex
	budget *heldbytes.Budget
	// conns holds the connection of each holder.
	conns map[*heldbytes.Holder]*callerConn
	// trimming is set while a timer will look at an exceeded budget again.
	trimming bool
}

func newHeldBytes(o Options, m *metrics) *heldBytes {
	if o.Settings.MemoryMB <= 0 {
		return nil
	}
	budget := heldbytes.NewBudget(heldbytes.LimitFor(o.Settings.MemoryMB))
	m.heldBytesBudget.Update(float64(budget.Limit()))
	return &heldBytes{logger: o.Logger, metrics: m, now: o.Now, budget: budget, conns: make(map[*heldbytes.Holder]*callerConn)}
}

// opened registers a connection.
func (b *heldBytes) opened(c *callerConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns[&c.holder] = c
	b.disconnect(b.budget.Hold(b.now(), &c.holder, idleConnectionBytes))
}

// closed gives all bytes of a connection back.
func (b *heldBytes) closed(c *callerConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.conns, &c.holder)
	b.budget.Remove(&c.holder)
	b.observe()
}

// hold takes bytes without which a request can't be served, also beyond the budget.
func (b *heldBytes) hold(c *callerConn, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.conns[&c.holder] != nil {
		b.disconnect(b.budget.Hold(b.now(), &c.holder, int64(n)))
	}
}

// reserve takes bytes if they fit into the budget.
func (b *heldBytes) reserve(c *callerConn, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.conns[&c.holder] == nil {
		return false
	}
	list, ok := b.budget.Reserve(b.now(), &c.holder, int64(n))
	b.disconnect(list)
	return ok
}

// release gives bytes back.
func (b *heldBytes) release(c *callerConn, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > 0 && b.conns[&c.holder] != nil {
		b.budget.Release(&c.holder, int64(n))
		b.observe()
	}
}

// stalled records that a caller has made no progress since a time, progressed that
// nothing is expected from it any more.
func (b *heldBytes) stalled(c *callerConn, since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.conns[&c.holder] != nil {
		b.budget.Stall(&c.holder, since)
	}
}

func (b *heldBytes) progressed(c *callerConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Progress(&c.holder)
}

// setUrgency sets the urgency of the request that a caller has sent.
func (b *heldBytes) setUrgency(c *callerConn, u heldbytes.Urgency) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.SetUrgency(&c.holder, u)
}

// trim disconnects callers that had not been stalled long enough when the budget was
// exceeded. The caller holds mu.
func (b *heldBytes) trim() {
	if b.trimming || !b.budget.Exceeded() {
		return
	}
	b.trimming = true
	time.AfterFunc(heldbytes.MinStall/2, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.trimming = false
		b.disconnect(b.budget.Trim(b.now()))
	})
}

// disconnect ends the connections of holders. The caller holds mu. Each ends in a
// goroutine of its own, since the caller may hold the lock of another connection.
func (b *heldBytes) disconnect(list []*heldbytes.Holder) {
	for _, h := range list {
		f := log.Fields{"bytes": h.Bytes(), "stalled_ms": ms(h.StalledFor(b.now())), "held_bytes": b.budget.Held(), "budget_bytes": b.budget.Limit()}
		b.metrics.readersDisconnected.Inc(1)
		go b.conns[h].disconnect("caller disconnected, budget of buffered bytes used up", f)
	}
	b.observe()
	b.trim()
}

// awaitDisconnected waits until disconnected callers hold little, but for a bounded time.
func (b *heldBytes) awaitDisconnected() {
	draining := func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.budget.Draining()
	}
	for waited := time.Duration(0); waited < maxAcceptDelay && draining(); waited += acceptPoll {
		time.Sleep(acceptPoll)
	}
}

// unread reports whether connections are open, which after the end of the server are those
// whose callers have not read their responses yet.
func (b *heldBytes) unread() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns) > 0
}

// observe updates the metrics. The caller holds mu.
func (b *heldBytes) observe() {
	b.metrics.heldBytes.Update(float64(b.budget.Held()))
}
