package keepalive

import (
	"math"
	"time"
)

// segment is a part of the time ahead with an even hazard.
type segment struct {
	// start and end are idle times, in seconds.
	start, end float64
	// chance is that of a request in the segment if none came before.
	chance float64
	// worth is the idle accelerator time, in seconds, that a loaded replica is
	// worth when a request comes.
	worth float64
}

// segments calls yield for the parts of the time from a moment on, up to an
// idle time, until yield returns false.
func (k *HistoryPolicy[K]) segments(e *entry[K], from time.Time, ahead float64, yield func(segment) bool) {
	var idle float64
	if e != nil {
		idle = e.idle(from).Seconds()
	}
	origin := from.Add(-seconds(idle))
	limit := idle + ahead
	for start := idle; start < limit; {
		span := spanOf(seconds(start + minSegment))
		s := segment{start: start, end: min(limit, k.segmentEnd(e, origin, start, span))}
		if s.end <= s.start {
			return
		}
		s.chance = k.segmentChance(e, origin, s, span)
		s.worth = k.worth(e, start, span)
		if !yield(s) {
			return
		}
		start = s.end
	}
}

// segmentEnd returns where the hazard may change next.
func (k *HistoryPolicy[K]) segmentEnd(e *entry[K], origin time.Time, start float64, span int) float64 {
	_, end := spanBounds(span)
	if span == spanCount-1 {
		end = math.Inf(1)
	}
	if !k.daily(e, start) {
		return end
	}
	at := origin.Add(seconds(start))
	slotEnd := at.Truncate(slotLength).Add(slotLength).Sub(origin).Seconds()
	return min(end, slotEnd)
}

// segmentChance returns the chance of a request in a segment.
func (k *HistoryPolicy[K]) segmentChance(e *entry[K], origin time.Time, s segment, span int) float64 {
	start, end := spanBounds(span)
	part := (s.end - s.start) / max(end-start, minSegment)
	byGap := 1 - math.Pow(1-k.spanChance(e, span), part)
	if !k.daily(e, s.start) {
		return byGap
	}
	at := origin.Add(seconds(s.start + minSegment))
	slotPart := (s.end - s.start) / slotLength.Seconds()
	slotGap := 1 - math.Pow(1-byGap, 1/slotPart)
	pooled := k.poolDays.smooth(at, slotGap, dayPriorWeight)
	whole := e.days.smooth(at, pooled, dayPoolWeight)
	return 1 - math.Pow(1-whole, slotPart)
}

// daily tells whether the profile of the day applies after an idle time.
func (k *HistoryPolicy[K]) daily(e *entry[K], idle float64) bool {
	return e != nil && e.days != nil && idle >= sessionGap.Seconds()
}

// worth returns the idle accelerator time that is worth spending to avoid a
// cold start after an idle time, in seconds.
func (k *HistoryPolicy[K]) worth(e *entry[K], idle float64, span int) float64 {
	load := k.reloads.estimate(span, k.share(e), k.cfg.Reload.Seconds())
	hits := 1.0
	if e != nil {
		hits = e.hits(idle)
	}
	return k.exchange * hits * load * math.Pow(load/referenceLoad, k.cfg.TailPower-1)
}

// seconds converts a number of seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
