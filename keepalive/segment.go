package keepalive

import (
	"math"
	"time"
)

// segment is a part of the idle time with a constant hazard.
type segment struct {
	// start and end are idle times, in seconds.
	start, end float64
	// probability is that of a request in the segment if none came before.
	probability float64
	// coldStartCost is the cost of a cold start in the segment, in seconds of idle
	// accelerator time.
	coldStartCost float64
}

// segments calls yield for each segment of the idle time from a moment on, up
// to horizon seconds ahead, until yield returns false.
func (p *HistoryPolicy[K]) segments(e *entry[K], from time.Time, horizon float64, yield func(segment) bool) {
	var idle float64
	if e != nil {
		idle = e.idle(from).Seconds()
	}
	origin := from.Add(-seconds(idle))
	limit := idle + horizon
	for start := idle; start < limit; {
		span := spanOf(seconds(start + minSegment))
		s := segment{start: start, end: min(limit, p.segmentEnd(e, origin, start, span))}
		if s.end <= s.start {
			return
		}
		s.probability = p.segmentProbability(e, origin, s, span)
		s.coldStartCost = p.coldStartCost(e, start, span)
		if !yield(s) {
			return
		}
		start = s.end
	}
}

// segmentEnd returns the idle time at which the hazard may change next.
func (p *HistoryPolicy[K]) segmentEnd(e *entry[K], origin time.Time, start float64, span int) float64 {
	_, end := spanBounds(span)
	if span == spanCount-1 {
		end = math.Inf(1)
	}
	if !p.daily(e, start) {
		return end
	}
	at := origin.Add(seconds(start))
	slotEnd := at.Truncate(slotLength).Add(slotLength).Sub(origin).Seconds()
	return min(end, slotEnd)
}

// segmentProbability returns the probability of a request in a segment.
func (p *HistoryPolicy[K]) segmentProbability(e *entry[K], origin time.Time, s segment, span int) float64 {
	start, end := spanBounds(span)
	part := (s.end - s.start) / max(end-start, minSegment)
	bySpan := 1 - math.Pow(1-p.spanHazard(e, span), part)
	if !p.daily(e, s.start) {
		return bySpan
	}
	at := origin.Add(seconds(s.start + minSegment))
	slotPart := (s.end - s.start) / slotLength.Seconds()
	slotPrior := 1 - math.Pow(1-bySpan, 1/slotPart)
	pooled := p.poolDayProfile.smoothed(at, slotPrior, dayPriorWeight)
	slotProbability := e.dayProfile.smoothed(at, pooled, dayPoolWeight)
	return 1 - math.Pow(1-slotProbability, slotPart)
}

// daily reports whether the day profile applies after an idle time.
func (p *HistoryPolicy[K]) daily(e *entry[K], idle float64) bool {
	return e != nil && e.dayProfile != nil && idle >= sessionGap.Seconds()
}

// coldStartCost returns the cost of a cold start after an idle time, in seconds
// of idle accelerator time.
func (p *HistoryPolicy[K]) coldStartCost(e *entry[K], idle float64, span int) float64 {
	load := p.reloads.estimate(span, p.share(e), p.cfg.Reload.Seconds())
	delayedRequests := 1.0
	if e != nil {
		delayedRequests = e.delayedRequests(idle)
	}
	return p.exchange * delayedRequests * load * math.Pow(load/referenceLoad, p.cfg.TailPower-1)
}

// seconds converts a number of seconds to a time.Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
