package standin

import (
	"slices"
	"sync"
	"time"

	"github.com/laureltally/laureltally/engine"
)

// maxCacheEvents is how many events are kept.
const maxCacheEvents = 10_000

// prefixCache is the prompt prefix cache of an engine. Its events are seen late
// and with gaps.
type prefixCache struct {
	capacity int
	lag      time.Duration
	gap      int

	mu sync.Mutex
	// held lists the cached hashes, the most recently used last.
	held   []uint64
	seq    uint64
	events []cacheRecord
}

// use notes a prompt prefix and tells whether it was cached.
func (c *prefixCache) use(hash uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	hit := false
	if i := slices.Index(c.held, hash); i >= 0 {
		hit = true
		c.held = slices.Delete(c.held, i, i+1)
	} else {
		c.publish(engine.CacheEvent{PrefixHash: hash})
	}
	c.held = append(c.held, hash)
	if len(c.held) > c.capacity {
		c.publish(engine.CacheEvent{PrefixHash: c.held[0], Evicted: true})
		c.held = c.held[1:]
	}
	return hit
}

// publish numbers an event and loses it if it falls into a gap. The caller
// holds mu.
func (c *prefixCache) publish(e engine.CacheEvent) {
	c.seq++
	e.Seq = c.seq
	if c.gap > 0 && c.seq%uint64(c.gap) == 0 {
		return
	}
	if len(c.events) == maxCacheEvents {
		c.events = c.events[1:]
	}
	c.events = append(c.events, cacheRecord{event: e, at: time.Now().Add(c.lag)})
}

// eventsSince returns the events from number since on that are seen by now.
func (c *prefixCache) eventsSince(since uint64) engine.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	found := engine.CacheEvents{Events: []engine.CacheEvent{}, Next: since}
	for _, r := range c.events {
		if r.event.Seq >= since && !r.at.After(now) {
			found.Events = append(found.Events, r.event)
			found.Next = r.event.Seq + 1
		}
	}
	return found
}
