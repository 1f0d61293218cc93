package loadlimit

import "time"

// permit is a request that has been granted.
type permit struct {
	req       Request
	grantedAt time.Time
	// lastHeartbeat is when the holder was last known to be alive.
	lastHeartbeat time.Time
}
