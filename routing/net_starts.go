package routing

import "time"

const (
	// netStartsBucket is the duration of one bucket.
	netStartsBucket = 250 * time.Millisecond
	// netStartsBuckets is the number of buckets, which bounds the time covered.
	netStartsBuckets = 20
)

// netStarts counts the requests that the router started minus those that ended,
// in time buckets.
type netStarts struct {
	bucket [netStartsBuckets]int64
	net    [netStartsBuckets]int32
}

func (r *netStarts) add(now time.Time, n int) {
	id := now.UnixNano() / int64(netStartsBucket)
	i := id % netStartsBuckets
	if r.bucket[i] != id {
		r.bucket[i], r.net[i] = id, 0
	}
	r.net[i] += int32(n)
}

// since sums the buckets from t on.
func (r *netStarts) since(t time.Time) int32 {
	id := t.UnixNano() / int64(netStartsBucket)
	var sum int32
	for i := range r.bucket {
		if r.bucket[i] >= id {
			sum += r.net[i]
		}
	}
	return sum
}
