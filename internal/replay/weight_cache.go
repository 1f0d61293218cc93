package replay

import "slices"

// weightCache is an LRU cache of weights.
type weightCache struct {
	freeMB int64
	// byRecency holds model indices, the least recently used first.
	byRecency []int
}

func (c *weightCache) has(m int) bool { return slices.Contains(c.byRecency, m) }

// put adds a model and evicts others until it fits. A model that is larger than the
// cache is not added.
func (c *weightCache) put(m int, models []model) {
	if i := slices.Index(c.byRecency, m); i >= 0 {
		c.byRecency = append(slices.Delete(c.byRecency, i, i+1), m)
		return
	}
	if models[m].memoryMB > c.freeMB+c.used(models) {
		return
	}
	for c.freeMB < models[m].memoryMB {
		c.freeMB += models[c.byRecency[0]].memoryMB
		c.byRecency = c.byRecency[1:]
	}
	c.freeMB -= models[m].memoryMB
	c.byRecency = append(c.byRecency, m)
}

func (c *weightCache) used(models []model) int64 {
	var sum int64
	for _, m := range c.byRecency {
		sum += models[m].memoryMB
	}
	return sum
}
