package ingress

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleSlack is how much longer than configured an idle connection is kept, so that a
// request sent at the last moment does not hit a closed connection.
const idleSlack = 500 * time.Millisecond

// idleTracker closes connections that have been idle for the limit that applied when
// they became idle.
type idleTracker struct {
	limit func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

// state is the ConnState hook of an http.Server.
func (t *idleTracker) state(c net.Conn, s http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if timer := t.timers[c]; timer != nil {
		timer.Stop()
		delete(t.timers, c)
	}
	if s != http.StateIdle {
		return
	}
	if limit := t.limit(); limit > 0 {
		t.timers[c] = time.AfterFunc(limit+idleSlack, func() { c.Close() })
	}
}
