package admission

import (
	"maps"
	"slices"

	"github.com/laureltally/laureltally/ident"
)

// RegionWeights returns the share of an upstream in region home that each region
// is entitled to, given the capacity of the same upstream group in every region
// in any unit. Each region is entitled to an equal part of the whole; it takes
// it at home first, and what is left over at home goes to regions with less, in
// proportion to what they lack. Regions that want less leave it to the others.
func RegionWeights(home ident.Region, capacity map[ident.Region]float64) map[ident.Region]float64 {
	weights := make(map[ident.Region]float64, len(capacity))
	own := capacity[home]
	if own <= 0 {
		return weights
	}
	var total, lacking float64
	regions := slices.Sorted(maps.Keys(capacity))
	for _, r := range regions {
		total += capacity[r]
	}
	part := total / float64(len(capacity))
	for _, r := range regions {
		lacking += max(0, part-capacity[r])
	}
	weights[home] = min(1, part/own)
	for _, r := range regions {
		if r != home && lacking > 0 {
			weights[r] = max(0, own-part) / own * max(0, part-capacity[r]) / lacking
		}
	}
	return weights
}
