package loadlimit

import "time"

// holder is a request that has a place.
type holder struct {
	req     Request
	granted time.Time
	// heard is when the holder was last heard of.
	heard time.Time
}
