package replay

import "slices"

// weightCache is a cache of weights that drops the least recently used.
type weightCache struct {
	freeMB int64
	// order holds model numbers, the least recently used first.
	order []int
}

func (c *weightCache) has(m int) bool { return slices.Contains(c.order, m) }

// put adds a model and drops others until it fits.
func (c *weightCache) put(m int, models []model) {
	if i := slices.Index(c.order, m); i >= 0 {
		c.order = append(slices.Delete(c.order, i, i+1), m)
		return
	}
	if models[m].memoryMB > c.freeMB+c.used(models) {
		return
	}
	for c.freeMB < models[m].memoryMB {
		c.freeMB += models[c.order[0]].memoryMB
		c.order = c.order[1:]
	}
	c.freeMB -= models[m].memoryMB
	c.order = append(c.order, m)
}

func (c *weightCache) used(models []model) int64 {
	var sum int64
	for _, m := range c.order {
		sum += models[m].memoryMB
	}
	return sum
}
