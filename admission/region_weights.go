package admission

import (
	"maps"
	"slices"

	"github.com/laureltally/laureltally/ident"
)

// RegionWeights returns the share of an upstream in region home that each
// region is entitled to. capacity is the capacity of the upstream group per
// region, in any unit. Each region is entitled to an equal part of the total
// and uses its own capacity first. Surplus capacity at home goes to the regions
// with a deficit, in proportion to it. A share that a region does not use is
// available to the others.
func RegionWeights(home ident.Region, capacity map[ident.Region]float64) map[ident.Region]float64 {
	weights := make(map[ident.Region]float64, len(capacity))
	homeCapacity := capacity[home]
	if homeCapacity <= 0 {
		return weights
	}
	var total, deficit float64
	regions := slices.Sorted(maps.Keys(capacity))
	for _, r := range regions {
		total += capacity[r]
	}
	fairShare := total / float64(len(capacity))
	for _, r := range regions {
		deficit += max(0, fairShare-capacity[r])
	}
	weights[home] = min(1, fairShare/homeCapacity)
	for _, r := range regions {
		if r != home && deficit > 0 {
			weights[r] = max(0, homeCapacity-fairShare) / homeCapacity * max(0, fairShare-capacity[r]) / deficit
		}
	}
	return weights
}
