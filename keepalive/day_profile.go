package keepalive

import "time"

const (
	// slotLength is the length of one slot of the day.
	slotLength = 30 * time.Minute
	// slotsPerDay is the number of slots of a day.
	slotsPerDay = int(24 * time.Hour / slotLength)
	// dayTypeCount is the number of types of days: working days and weekends.
	dayTypeCount = 2
	// maxSlotExposures is about how many of the latest exposures a slot's estimate
	// covers.
	maxSlotExposures = 10
	// maxExposedSlots bounds the slots that one observation updates.
	maxExposedSlots = 7 * slotsPerDay
	// sessionGap is the idle time after which a request starts a new session.
	sessionGap = 15 * time.Minute
)

// dayProfile holds, for each slot of a day in UTC, the probability that a
// session starts in the slot if none is in progress.
type dayProfile [dayTypeCount][slotsPerDay]probability

// at returns the estimate of the slot that contains t.
func (d *dayProfile) at(t time.Time) *probability {
	t = t.UTC()
	dayType := 0
	if day := t.Weekday(); day == time.Saturday || day == time.Sunday {
		dayType = 1
	}
	return &d[dayType][(t.Hour()*60+t.Minute())/int(slotLength.Minutes())]
}

// observe records that a session started at now after an idle time.
func (d *dayProfile) observe(idle time.Duration, now time.Time) {
	last := now.Truncate(slotLength)
	first := now.Add(-idle).Truncate(slotLength).Add(slotLength)
	if oldest := last.Add(-time.Duration(maxExposedSlots) * slotLength); first.Before(oldest) {
		first = oldest
	}
	for t := first; t.Before(last); t = t.Add(slotLength) {
		d.at(t).update(false, maxSlotExposures)
	}
	d.at(now).update(true, maxSlotExposures)
}

// smoothed returns the estimate of the slot that contains t, averaged with its
// two neighbours, which have neighbourWeight, and with prior, which counts as
// weight exposures.
func (d *dayProfile) smoothed(t time.Time, prior, weight float64) float64 {
	sum, exposures := prior*weight, weight
	for i := -1; i <= 1; i++ {
		p := d.at(t.Add(time.Duration(i) * slotLength))
		n := float64(p.exposures)
		if i != 0 {
			n *= neighbourWeight
		}
		sum += n * float64(p.value) / probabilityOne
		exposures += n
	}
	return sum / exposures
}

// neighbourWeight is the weight of an exposure of an adjacent slot.
const neighbourWeight = 0.5
