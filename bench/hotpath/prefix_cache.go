package hotpath

// reportedPrefixes is how many prefixes a report names; cache events have gaps.
const reportedPrefixes = 16

// prefixCache holds the most recently used prompt prefixes of one engine.
type prefixCache struct {
	size    int
	order   []uint64
	lastHit bool
}

func newPrefixCache(size int) *prefixCache { return &prefixCache{size: size} }

// hit tells whether a prefix is cached, and caches it.
func (c *prefixCache) hit(p uint64) bool {
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

// sample is the newest part of the cache.
func (c *prefixCache) sample() []uint64 {
	return append([]uint64(nil), c.order[max(0, len(c.order)-reportedPrefixes):]...)
}
