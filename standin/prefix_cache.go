package standin

import (
	"slices"
	"sync"
	"time"

	"github.com/laureltally/laureltally/engine"
)

// maxCacheEvents is how many events are kept; older ones are dropped.
const maxCacheEvents = 10_000

// prefixCache simulates the prompt prefix cache of an engine. Its events become
// visible after lag, and every dropInterval-th event is dropped.
type prefixCache struct {
	capacity     int
	lag          time.Duration
	dropInterval int

	mu sync.Mutex
	// hashes lists the cached hashes, the most recently used last.
	hashes []uint64
	seq    uint64
	events []cacheRecord
}

// access adds a prompt prefix to the cache and reports whether it was cached before.
func (c *prefixCache) access(hash uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	hit := false
	if i := slices.Index(c.hashes, hash); i >= 0 {
		hit = true
		c.hashes = slices.Delete(c.hashes, i, i+1)
	} else {
		c.addEvent(engine.CacheEvent{PrefixHash: hash})
	}
	c.hashes = append(c.hashes, hash)
	if len(c.hashes) > c.capacity {
		c.addEvent(engine.CacheEvent{PrefixHash: c.hashes[0], Evicted: true})
		c.hashes = c.hashes[1:]
	}
	return hit
}

// addEvent numbers an event and records it, unless it is one to drop. The caller
// holds mu.
func (c *prefixCache) addEvent(e engine.CacheEvent) {
	c.seq++
	e.Seq = c.seq
	if c.dropInterval > 0 && c.seq%uint64(c.dropInterval) == 0 {
		return
	}
	if len(c.events) == maxCacheEvents {
		c.events = c.events[1:]
	}
	c.events = append(c.events, cacheRecord{event: e, visibleAt: time.Now().Add(c.lag)})
}

// eventsSince returns the visible events with a sequence number of since or above.
func (c *prefixCache) eventsSince(since uint64) engine.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	found := engine.CacheEvents{Events: []engine.CacheEvent{}, Next: since}
	for _, r := range c.events {
		if r.event.Seq >= since && !r.visibleAt.After(now) {
			found.Events = append(found.Events, r.event)
			found.Next = r.event.Seq + 1
		}
	}
	return found
}
