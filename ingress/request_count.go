package ingress

import (
	"sync"
	"time"
)

// requestCount counts running requests. It is safe for concurrent use.
type requestCount struct {
	mu      sync.Mutex
	running int
	// endedAt is when the newest request ended.
	endedAt time.Time
}

func (c *requestCount) started() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running++
}

func (c *requestCount) ended() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
	c.endedAt = time.Now()
}

// none reports whether no request is running.
func (c *requestCount) none() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running == 0
}

// quietFor reports whether no request has run for a time.
func (c *requestCount) quietFor(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running == 0 && time.Since(c.endedAt) >= d
}
