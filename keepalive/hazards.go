package keepalive

import (
	"math"
	"time"
)

const (
	// maxSpanExposures is about how many of the latest exposures a span's estimate
	// covers.
	maxSpanExposures = 64
	// priorTailExponent is the exponent of the power-law survival function of idle
	// times assumed before any observation.
	priorTailExponent = 0.7
)

// hazards holds, for each span of idle time, the probability that a request
// ends the idle time within the span, given that it has reached the span.
type hazards [spanCount]probability

// observe records an idle time that a request ended.
func (h *hazards) observe(idle time.Duration) {
	last := spanOf(idle)
	for i := range last {
		h[i].update(false, maxSpanExposures)
	}
	h[last].update(true, maxSpanExposures)
}

// priorHazards holds the hazard of each span before any observation, from a
// power-law survival function.
var priorHazards = makePriorHazards()

func makePriorHazards() [spanCount]float64 {
	var p [spanCount]float64
	for i := range p {
		start, end := spanBounds(i)
		p[i] = 1 - math.Pow((1+start)/(1+end), priorTailExponent)
	}
	return p
}

// sessionStage is the progress of a session.
type sessionStage uint8

// Stages of a session.
const (
	// singleRequest is a session with one request.
	singleRequest sessionStage = iota
	// severalRequests is a session with two or more requests.
	severalRequests
	sessionStageCount
)
