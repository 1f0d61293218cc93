package keepalive

import "time"

const (
	// slotLength is the length of one slot of the day.
	slotLength = 30 * time.Minute
	// slotsPerDay is the number of slots of a day.
	slotsPerDay = int(24 * time.Hour / slotLength)
	// dayKinds is the number of kinds of days: working days and weekends.
	dayKinds = 2
	// dayMemory is how many exposures the estimate of a slot remembers.
	dayMemory = 10
	// maxExposedSlots bounds the slots that one observation walks through.
	maxExposedSlots = 7 * slotsPerDay
	// sessionGap is the idle time after which a request begins a new session.
	sessionGap = 15 * time.Minute
)

// days holds, for each slot of a day in UTC, the chance that a session begins
// in the slot if none is under way.
type days [dayKinds][slotsPerDay]chance

// at returns the estimate of the slot that holds a time.
func (d *days) at(t time.Time) *chance {
	t = t.UTC()
	kind := 0
	if day := t.Weekday(); day == time.Saturday || day == time.Sunday {
		kind = 1
	}
	return &d[kind][(t.Hour()*60+t.Minute())/int(slotLength.Minutes())]
}

// observe records that a session began at now after an idle time.
func (d *days) observe(idle time.Duration, now time.Time) {
	last := now.Truncate(slotLength)
	first := now.Add(-idle).Truncate(slotLength).Add(slotLength)
	if oldest := last.Add(-time.Duration(maxExposedSlots) * slotLength); first.Before(oldest) {
		first = oldest
	}
	for t := first; t.Before(last); t = t.Add(slotLength) {
		d.at(t).update(false, dayMemory)
	}
	d.at(now).update(true, dayMemory)
}

// smooth returns the estimate for the slot that holds a time, together with
// half of those of the slots beside it, drawn towards prior as if prior had
// been seen weight times.
func (d *days) smooth(t time.Time, prior, weight float64) float64 {
	sum, seen := prior*weight, weight
	for i := -1; i <= 1; i++ {
		c := d.at(t.Add(time.Duration(i) * slotLength))
		n := float64(c.seen)
		if i != 0 {
			n *= neighbourWeight
		}
		sum += n * float64(c.value) / chanceOne
		seen += n
	}
	return sum / seen
}

// neighbourWeight is what an exposure of the slot before or after counts for.
const neighbourWeight = 0.5
