package hotpath

// reportedPrefixes is the number of prefixes in a report. It is less than a cache
// holds, since cache events have gaps.
const reportedPrefixes = 16

// prefixCache is an LRU cache of the prompt prefixes of one engine.
type prefixCache struct {
	size    int
	order   []uint64
	lastHit bool
}

func newPrefixCache(size int) *prefixCache { return &prefixCache{size: size} }

// lookup reports whether a prefix is cached, and caches it.
func (c *prefixCache) lookup(p uint64) bool {
	c.lastHit = false
	for i, q := range c.order {
		if q == p {
			c.order = append(c.order[:i], c.order[i+1:]...)
			c.lastHit = true
			break
		}
	}
	c.order = append(c.order, p)
	if len(c.order) > c.size {
		c.order = c.order[1:]
	}
	return c.lastHit
}

// recent returns the most recently used prefixes, at most reportedPrefixes.
func (c *prefixCache) recent() []uint64 {
	return append([]uint64(nil), c.order[max(0, len(c.order)-reportedPrefixes):]...)
}
