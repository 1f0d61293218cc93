package keepalive

import (
	"math"
	"time"
)

const (
	// spanCount is the number of spans of idle time.
	spanCount = 40
	// spansPerOctave is the number of spans for each doubling of idle time.
	spansPerOctave = 2
)

// spanEnds holds the end of each span, in seconds: 1 s, then by a factor of the
// square root of two up to eight days. The last span is unbounded.
var spanEnds = makeSpanEnds()

func makeSpanEnds() [spanCount]float64 {
	var ends [spanCount]float64
	for i := range ends {
		ends[i] = math.Exp2(float64(i) / spansPerOctave)
	}
	return ends
}

// spanOf returns the span that contains an idle time.
func spanOf(idle time.Duration) int {
	s := idle.Seconds()
	if s < 1 {
		return 0
	}
	i := int(math.Log2(s)*spansPerOctave) + 1
	return min(i, spanCount-1)
}

// spanBounds returns the start and end of a span, in seconds.
func spanBounds(i int) (start, end float64) {
	if i > 0 {
		start = spanEnds[i-1]
	}
	return start, spanEnds[i]
}
