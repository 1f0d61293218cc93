package keepalive

import (
	"math"
	"time"
)

const (
	// gapMemory is how many exposures the estimate of a span remembers.
	gapMemory = 64
	// priorTail is the exponent of the survival of idle times that is taken
	// while nothing was seen.
	priorTail = 0.7
)

// gaps holds, for each span of idle time, the chance that a request ends the
// idle time within the span once it has reached it.
type gaps [spanCount]chance

// observe records an idle time that a request ended.
func (g *gaps) observe(idle time.Duration) {
	last := spanOf(idle)
	for i := range last {
		g[i].update(false, gapMemory)
	}
	g[last].update(true, gapMemory)
}

// priorChances holds the chances of a span while nothing was seen: those of a
// survival that falls with a power of the idle time.
var priorChances = makePriorChances()

func makePriorChances() [spanCount]float64 {
	var p [spanCount]float64
	for i := range p {
		start, end := spanBounds(i)
		p[i] = 1 - math.Pow((1+start)/(1+end), priorTail)
	}
	return p
}

// stage tells how far a session has come.
type stage uint8

// The stages of a session.
const (
	// lone is that of a session with one request.
	lone stage = iota
	// followed is that of a session with several.
	followed
	stageCount
)
