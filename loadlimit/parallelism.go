package loadlimit

import (
	"math"
	"time"
)

const (
	// fullSpeed and slowed are the ratios of a load's time to its configured time up
	// to which it ran at full speed, and from which the store was overloaded. Engines
	// are read several times a second, so that load times of seconds are exact to a few
	// percent.
	fullSpeed = 1.1
	slowed    = 1.2
	// raisePause is how long the limit is not raised after slow loads. A limit that is
	// one too high delays loads without starting more of them.
	raisePause = time.Minute
)

// parallelism learns how many loads the weight store runs at full speed concurrently.
// It answers deployments that do not state this number: beyond it, each load takes
// proportionally longer, so that a higher limit ends no load earlier and keeps urgent
// loads waiting behind started ones, while a lower limit leaves the store idle.
type parallelism struct {
	value int
	// raiseAt is the earliest time to raise the value.
	raiseAt time.Time
	// slowFit is the value that the previous load suggested if it was slow, or zero:
	// a single slow load may be due to its engine.
	slowFit int
}

// observe takes the end of a load that took slowdown times its configured time while,
// on average, concurrent permits were issued.
func (p *parallelism) observe(now time.Time, concurrent, slowdown float64) {
	if slowdown < slowed {
		p.slowFit = 0
		if slowdown <= fullSpeed && concurrent >= float64(p.value)-0.5 && !now.Before(p.raiseAt) {
			p.value++
		}
		return
	}
	p.raiseAt = now.Add(raisePause)
	fit := max(1, int(math.Round(concurrent/slowdown)))
	if p.slowFit > 0 {
		p.value = min(p.value, max(fit, p.slowFit))
	}
	p.slowFit = fit
}
