package routing

import "time"

const (
	// recentSlot is the resolution of recent.
	recentSlot = 250 * time.Millisecond
	// recentSlots bounds how far recent looks back, in slots.
	recentSlots = 20
)

// recent counts the router's own starts less its ends in time slots.
type recent struct {
	slot [recentSlots]int64
	net  [recentSlots]int32
}

func (r *recent) add(now time.Time, n int) {
	id := now.UnixNano() / int64(recentSlot)
	i := id % recentSlots
	if r.slot[i] != id {
		r.slot[i], r.net[i] = id, 0
	}
	r.net[i] += int32(n)
}

// since sums the slots from t on.
func (r *recent) since(t time.Time) int32 {
	id := t.UnixNano() / int64(recentSlot)
	var sum int32
	for i := range r.slot {
		if r.slot[i] >= id {
			sum += r.net[i]
		}
	}
	return sum
}
