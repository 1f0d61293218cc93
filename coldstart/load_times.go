package coldstart

import (
	"math"
	"time"

	"github.com/laureltally/laureltally/engine"
)

const (
	// ratioBins is the number of histogram bins of load time divided by prior.
	ratioBins = 48
	// binsPerOctave is the number of bins per doubling of the ratio.
	binsPerOctave = 4
	// ratioMiddle is the bin of a load time equal to its prior.
	ratioMiddle = ratioBins / 2
	// ratioDecay is the factor on earlier counts at each observation.
	ratioDecay = 0.97
	// priorLoads is the weight of the prior, in loads.
	priorLoads = 4
	// priorSpread is the half width of the prior, in bins.
	priorSpread = 2
	// mbPerGB converts MiB to GiB.
	mbPerGB = 1024
)

// tierPrior is the assumed load time of a tier before any observation.
type tierPrior struct {
	base  time.Duration
	perGB time.Duration
}

var tierPriors = map[engine.Tier]tierPrior{
	engine.TierMemory: {base: 300 * time.Millisecond, perGB: 60 * time.Millisecond},
	engine.TierDisk:   {base: 500 * time.Millisecond, perGB: 300 * time.Millisecond},
	engine.TierRemote: {base: time.Second, perGB: time.Second},
}

// LoadTimes estimates load times from observed loads. For each tier it keeps a
// histogram of load time divided by prior, with exponential decay.
type LoadTimes struct {
	tiers map[engine.Tier]*[ratioBins]float64
}

// NewLoadTimes returns an estimator that holds only the priors.
func NewLoadTimes() *LoadTimes {
	l := &LoadTimes{tiers: make(map[engine.Tier]*[ratioBins]float64, len(tierPriors))}
	for tier := range tierPriors {
		h := new([ratioBins]float64)
		for i := ratioMiddle - priorSpread; i <= ratioMiddle+priorSpread; i++ {
			h[i] = priorLoads / (2*priorSpread + 1.0)
		}
		l.tiers[tier] = h
	}
	return l
}

// Observe records a load of memoryMB MiB from a tier.
func (l *LoadTimes) Observe(tier engine.Tier, memoryMB int64, took time.Duration) {
	tier = knownTier(tier)
	h := l.tiers[tier]
	for i := range h {
		h[i] *= ratioDecay
	}
	ratio := took.Seconds() / prior(tier, memoryMB).Seconds()
	bin := ratioMiddle + int(math.Round(math.Log2(max(ratio, math.SmallestNonzeroFloat32))*binsPerOctave))
	h[min(max(bin, 0), ratioBins-1)]++
}

// Quantile returns the load time of memoryMB MiB from a tier at quantile q,
// between 0 and 1.
func (l *LoadTimes) Quantile(tier engine.Tier, memoryMB int64, q float64) time.Duration {
	tier = knownTier(tier)
	h := l.tiers[tier]
	var total, below float64
	for _, count := range h {
		total += count
	}
	bin := 0
	for ; bin < ratioBins-1; bin++ {
		below += h[bin]
		if below >= q*total {
			break
		}
	}
	ratio := math.Exp2(float64(bin-ratioMiddle) / binsPerOctave)
	return time.Duration(float64(prior(tier, memoryMB)) * ratio)
}

// knownTier returns the tier, or TierRemote if it is unknown.
func knownTier(tier engine.Tier) engine.Tier {
	if _, ok := tierPriors[tier]; !ok {
		return engine.TierRemote
	}
	return tier
}

// prior returns the load time assumed before any observation.
func prior(tier engine.Tier, memoryMB int64) time.Duration {
	p := tierPriors[tier]
	return p.base + p.perGB*time.Duration(memoryMB)/mbPerGB
}
