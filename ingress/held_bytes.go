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
	// headerLimit returns the configured limit of a header in bytes, or zero while it is not
	// known. It may be nil.
	headerLimit func() int

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
	budget.SetMaxFiles(callerFiles(o.Settings.MaxFiles))
	m.heldBytesBudget.Update(float64(budget.Limit()))
	m.heldFilesBudget.Update(float64(budget.MaxFiles()))
	return &heldBytes{logger: o.Logger, metrics: m, now: o.Now, budget: budget, conns: make(map[*heldbytes.Holder]*callerConn)}
}

// opened registers a connection, and reports false if there is no room for it.
func (b *heldBytes) opened(c *callerConn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	list, ok := b.budget.Admit(now, &c.holder, idleConnectionBytes, 1)
	if ok {
		b.conns[&c.holder] = c
		b.budget.Idle(&c.holder, now)
	} else {
		b.metrics.connectionsRefused.Inc(1)
	}
	b.disconnect(list)
	return ok
}

// begun takes the allowance for a request, and one for the descriptor of its attempt, and reports
// false if there is no room for it. If working is set, the caller owes nothing.
func (b *heldBytes) begun(c *callerConn, working bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.conns[&c.holder] == nil || c.holder.Leaving() {
		return false
	}
	if working {
		b.budget.Progress(&c.holder)
	}
	list, ok := b.budget.Admit(b.now(), &c.holder, activeRequestBytes, 1)
	b.disconnect(list)
	return ok
}

// ended gives back what was held for a request. If idle is set, nothing is expected from the
// caller but another request.
func (b *heldBytes) ended(c *callerConn, n, files int, idle bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.conns[&c.holder] == nil {
		return
	}
	b.budget.Release(&c.holder, int64(n))
	b.budget.ReleaseFiles(&c.holder, files)
	if idle {
		b.budget.Idle(&c.holder, b.now())
	}
	b.observe()
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

// admit takes bytes for a request that has not been sent to an upstream, also beyond the budget,
// but by a bounded part of it.
func (b *heldBytes) admit(c *callerConn, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.conns[&c.holder] == nil {
		return false
	}
	list, ok := b.budget.Admit(b.now(), &c.holder, int64(n), 0)
	b.disconnect(list)
	return ok
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

// spare takes bytes if they fit without disconnecting anybody.
func (b *heldBytes) spare(c *callerConn, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.conns[&c.holder] != nil && b.budget.Spare(&c.holder, int64(n))
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

// idle records that a caller has no request from now on: it has sent nothing, or a part of a
// header. It counts as stalled after the grace.
func (b *heldBytes) idle(c *callerConn, grace time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.conns[&c.holder] != nil {
		b.budget.Idle(&c.holder, b.now().Add(grace))
	}
}

// received records that a stalled caller has sent some of what it owes.
func (b *heldBytes) received(c *callerConn, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Received(b.now(), &c.holder, n)
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
		f := log.Fields{"bytes": h.Bytes(), "stalled_ms": ms(h.StalledFor(b.now())), "held_bytes": b.budget.Held(), "budget_bytes": b.budget.Limit(), "held_files": b.budget.Files()}
		b.metrics.readersDisconnected.Inc(1)
		go b.conns[h].disconnect("caller disconnected, budget of buffered bytes used up", f, h.Idle())
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

// maxHeaderCost returns the most that a header within the configured limit can hold.
func (b *heldBytes) maxHeaderCost() int {
	limit := maxHeaderBytes
	if b.headerLimit != nil {
		if n := b.headerLimit(); n > 0 {
			limit = min(n, maxHeaderBytes)
		}
	}
	limit += headerReadAhead
	return headerCost(limit, limit/minFieldBytes)
}

// leaving reports whether a caller is being disconnected.
func (b *heldBytes) leaving(c *callerConn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.holder.Leaving()
}

// observe updates the metrics. The caller holds mu.
func (b *heldBytes) observe() {
	b.metrics.heldBytes.Update(float64(b.budget.Held()))
	b.metrics.heldFiles.Update(float64(b.budget.Files()))
}
