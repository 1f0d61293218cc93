package loadlimit

import (
	"slices"
	"time"
)

// historyLength is how long changes of the number of permits are kept. Loads that took
// longer are averaged over this time only.
const historyLength = 2 * time.Minute

// permitHistory is the number of issued permits over time.
type permitHistory struct {
	// changes are in order of time.
	changes []permitCount
}

// permitCount is the number of permits from a time on.
type permitCount struct {
	since time.Time
	n     int
}

// record notes the number of permits from now on.
func (h *permitHistory) record(now time.Time, n int) {
	if last := len(h.changes) - 1; last >= 0 {
		switch {
		case h.changes[last].n == n:
			return
		case !h.changes[last].since.Before(now):
			h.changes[last].n = n
			return
		}
	}
	h.changes = append(h.changes, permitCount{since: now, n: n})
	// The newest change before the kept time holds the count at its start.
	old := 0
	for old+1 < len(h.changes) && now.Sub(h.changes[old+1].since) > historyLength {
		old++
	}
	h.changes = slices.Delete(h.changes, 0, old)
}

// mean returns the average number of permits between two times, or zero for an empty
// interval.
func (h *permitHistory) mean(from, to time.Time) float64 {
	if !from.Before(to) {
		return 0
	}
	sum, end := 0.0, to
	for i := len(h.changes) - 1; i >= 0 && end.After(from); i-- {
		begin := h.changes[i].since
		if begin.Before(from) {
			begin = from
		}
		if begin.Before(end) {
			sum += float64(h.changes[i].n) * end.Sub(begin).Seconds()
			end = begin
		}
	}
	return sum / to.Sub(from).Seconds()
}
