package admission

import (
	"math"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// minWeight keeps a region without an entitlement from starving.
const minWeight = 0.02

// fairness is a start-time fair queue over regions, and within a region over
// environments. Work of every class counts, so a region that asks for much
// urgent work waits longer with the rest of its work.
type fairness struct {
	weights map[ident.Region]float64
	regions map[ident.Region]float64
	flows   map[flowKey]float64
	// now is the virtual time at which the last item started.
	now float64
}

func newFairness() fairness {
	return fairness{regions: make(map[ident.Region]float64), flows: make(map[flowKey]float64)}
}

func (f *fairness) weight(r ident.Region) float64 {
	if f.weights == nil {
		return 1
	}
	return max(minWeight, f.weights[r])
}

// join brings a flow that had nothing waiting to the present, less a credit.
func (f *fairness) join(k flowKey, idle bool, credit time.Duration) {
	if idle {
		f.regions[k.region] = max(f.regions[k.region], f.now-credit.Seconds())
	}
	f.flows[k] = max(f.flows[k], f.oldestFlow(k))
}

// oldestFlow is the least virtual time of the other flows of a region.
func (f *fairness) oldestFlow(k flowKey) float64 {
	least := math.Inf(1)
	for o, t := range f.flows {
		if o.region == k.region && o != k {
			least = min(least, t)
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

// charge counts work that starts now.
func (f *fairness) charge(k flowKey, work time.Duration) {
	f.now = max(f.now, f.regions[k.region])
	f.regions[k.region] += work.Seconds() / f.weight(k.region)
	f.flows[k] += work.Seconds()
}

// next is the flow of c whose turn it is.
func (f *fairness) next(c *class) *flow {
	var best *flow
	for _, g := range c.flows {
		if best == nil || f.before(g.key, best.key) {
			best = g
		}
	}
	return best
}

func (f *fairness) before(a, b flowKey) bool {
	if ta, tb := f.regions[a.region], f.regions[b.region]; ta != tb {
		return ta < tb
	}
	return f.flows[a] < f.flows[b]
}

// ahead is the work of c that starts before an item behind own work of its flow.
func (f *fairness) ahead(c *class, k flowKey, own time.Duration) time.Duration {
	inRegion := own
	for _, g := range c.flows {
		if g.key.region == k.region && g.key != k {
			inRegion += min(g.work, own)
		}
	}
	end := f.regions[k.region] + inRegion.Seconds()/f.weight(k.region)
	sum := inRegion
	for i, g := range c.flows {
		if g.key.region != k.region && c.firstOfRegion(i) {
			sum += f.regionAhead(c, g.key.region, end)
		}
	}
	return sum
}

func (f *fairness) regionAhead(c *class, r ident.Region, end float64) time.Duration {
	turn := max(0, end-f.regions[r]) * f.weight(r)
	return min(c.regionWork(r), time.Duration(turn*float64(time.Second)))
}
