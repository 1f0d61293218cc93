package replay

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Shape of the drawn requests.
const (
	// gapSpread is the standard deviation of the logarithm of the gaps of a
	// session.
	gapSpread = 1.3
	// lengthSpread is the same for the length of a session.
	lengthSpread = 0.6
	// burstWindow is the time within which the first requests of a session come.
	burstWindow = 2 * time.Second
	// serviceMedian and serviceSpread describe the time that a request is
	// served.
	serviceMedian = 4 * time.Second
	serviceSpread = 0.7
	// adapterShare is the share of requests for an adapter of a model that has
	// some.
	adapterShare = 0.6
	// homeShare is the share of single requests from the model's home region.
	homeShare = 0.7
	// seasonShare is the share of the run, at its end, that is high season.
	seasonShare = 0.3
)

// generator draws the arrivals of one model.
type generator struct {
	r       *rand.Rand
	regions []ident.Region
	start   time.Time
	days    int
	number  int
	m       model
	home    ident.Region
	out     []Arrival
}

// drawArrivals draws the requests of all models, in order of time.
func drawArrivals(d Deployment, models []model, start time.Time, days int, r *rand.Rand) []Arrival {
	var out []Arrival
	for i, m := range models {
		g := generator{r: r, regions: d.Regions, start: start, days: days, number: i, m: m}
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
			season = g.m.group.Season
		}
		for _, h := range g.m.habits {
			if g.r.Float64() < g.m.group.Likely*season {
				jitter := g.r.NormFloat64() * float64(g.m.group.Jitter)
				g.session(date.Add(hours(h)+time.Duration(jitter)), season)
			}
		}
	}
	g.background()
}

// session draws a burst of first requests and those that follow.
func (g *generator) session(at time.Time, season float64) {
	burst := 1 + int(g.r.ExpFloat64()*(g.m.group.Burst*season-1))
	for range max(1, burst) {
		late := time.Duration(g.r.Float64() * float64(burstWindow))
		g.request(at.Add(late), g.regions[g.r.IntN(len(g.regions))])
	}
	end := at.Add(g.lognormal(g.m.group.Length, lengthSpread))
	for {
		at = at.Add(g.lognormal(g.m.group.Gap, gapSpread))
		if at.After(end) {
			return
		}
		g.request(at, g.region())
	}
}

// background draws single requests at any hour.
func (g *generator) background() {
	if g.m.group.Background == 0 {
		return
	}
	end := g.start.AddDate(0, 0, g.days)
	for at := g.start; ; {
		at = at.Add(time.Duration(g.r.ExpFloat64() * float64(g.m.group.Background)))
		if at.After(end) {
			return
		}
		g.request(at, g.region())
	}
}

func (g *generator) request(at time.Time, region ident.Region) {
	a := Arrival{At: at, Model: g.number, Region: region, Service: g.lognormal(serviceMedian, serviceSpread)}
	if len(g.m.adapters) > 0 && g.r.Float64() < adapterShare {
		a.Adapter = g.m.adapters[g.r.IntN(len(g.m.adapters))]
	}
	g.out = append(g.out, a)
}

func (g *generator) region() ident.Region {
	if g.r.Float64() < homeShare {
		return g.home
	}
	return g.regions[g.r.IntN(len(g.regions))]
}

// lognormal draws a duration with a median and the deviation of its logarithm.
func (g *generator) lognormal(median time.Duration, spread float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(spread*g.r.NormFloat64()))
}
