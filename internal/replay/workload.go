package replay

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Parameters of the random workload.
const (
	// gapSigma is the standard deviation of the logarithm of the gaps between the
	// requests of a session.
	gapSigma = 1.3
	// lengthSigma is the same for the length of a session.
	lengthSigma = 0.6
	// burstWindow is the time within which the burst at the start of a session
	// arrives.
	burstWindow = 2 * time.Second
	// serviceMedian is the median service time, serviceSigma the standard
	// deviation of its logarithm.
	serviceMedian = 4 * time.Second
	serviceSigma  = 0.7
	// adapterShare is the share of requests that use an adapter, at models with
	// adapters.
	adapterShare = 0.6
	// homeShare is the share of requests outside bursts that are sent from the
	// model's home region. The others come from a random region.
	homeShare = 0.7
	// seasonShare is the share of the replay, at its end, that is high season.
	seasonShare = 0.3
)

// generator draws the arrivals of one model. home is the region that sends most of
// its requests.
type generator struct {
	r          *rand.Rand
	regions    []ident.Region
	start      time.Time
	days       int
	modelIndex int
	spec       model
	home       ident.Region
	out        []Arrival
}

// drawArrivals draws the requests of all models, ordered by time.
func drawArrivals(d Deployment, models []model, start time.Time, days int, r *rand.Rand) []Arrival {
	var out []Arrival
	for i, spec := range models {
		g := generator{r: r, regions: d.Regions, start: start, days: days, modelIndex: i, spec: spec}
		g.home = d.Regions[r.IntN(len(d.Regions))]
		g.run()
		out = append(out, g.out...)
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return a.At.Compare(b.At) })
	return out
}

func (g *generator) run() {
	for day := range g.days {
		date := g.start.AddDate(0, 0, day)
		if date.Weekday() == time.Saturday || date.Weekday() == time.Sunday {
			continue
		}
		season := 1.0
		if float64(day) >= float64(g.days)*(1-seasonShare) {
			season = g.spec.group.SeasonFactor
		}
		for _, h := range g.spec.sessionHours {
			if g.r.Float64() < g.spec.group.SessionProbability*season {
				jitter := g.r.NormFloat64() * float64(g.spec.group.StartJitter)
				g.session(date.Add(hours(h)+time.Duration(jitter)), season)
			}
		}
	}
	g.background()
}

// session draws a burst of requests and the requests that follow it.
func (g *generator) session(at time.Time, season float64) {
	burst := 1 + int(g.r.ExpFloat64()*(g.spec.group.MeanBurst*season-1))
	for range max(1, burst) {
		offset := time.Duration(g.r.Float64() * float64(burstWindow))
		g.request(at.Add(offset), g.regions[g.r.IntN(len(g.regions))])
	}
	end := at.Add(g.lognormal(g.spec.group.SessionLength, lengthSigma))
	for {
		at = at.Add(g.lognormal(g.spec.group.MedianGap, gapSigma))
		if at.After(end) {
			return
		}
		g.request(at, g.region())
	}
}

// background draws single requests at any hour.
func (g *generator) background() {
	if g.spec.group.BackgroundInterval == 0 {
		return
	}
	end := g.start.AddDate(0, 0, g.days)
	for at := g.start; ; {
		at = at.Add(time.Duration(g.r.ExpFloat64() * float64(g.spec.group.BackgroundInterval)))
		if at.After(end) {
			return
		}
		g.request(at, g.region())
	}
}

func (g *generator) request(at time.Time, region ident.Region) {
	a := Arrival{At: at, Model: g.modelIndex, Region: region, Service: g.lognormal(serviceMedian, serviceSigma)}
	if len(g.spec.adapters) > 0 && g.r.Float64() < adapterShare {
		a.Adapter = g.spec.adapters[g.r.IntN(len(g.spec.adapters))]
	}
	g.out = append(g.out, a)
}

func (g *generator) region() ident.Region {
	if g.r.Float64() < homeShare {
		return g.home
	}
	return g.regions[g.r.IntN(len(g.regions))]
}

// lognormal draws a duration by its median and the standard deviation of its
// logarithm.
func (g *generator) lognormal(median time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(sigma*g.r.NormFloat64()))
}
