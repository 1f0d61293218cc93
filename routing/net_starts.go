package routing

import "time"

const (
	// netStartsBucketWidth is the duration of one bucket.
	netStartsBucketWidth = 250 * time.Millisecond
	// netStartsBucketCount is the number of buckets, which bounds the time
	// covered.
	netStartsBucketCount = 20
)

// netStarts counts the requests that the router started minus those that ended,
// in time buckets. bucketID holds the time of each bucket since the Unix epoch,
// in units of netStartsBucketWidth.
type netStarts struct {
	bucketID [netStartsBucketCount]int64
	net      [netStartsBucketCount]int32
}

func (r *netStarts) add(now time.Time, n int) {
	id := now.UnixNano() / int64(netStartsBucketWidth)
	i := id % netStartsBucketCount
	if r.bucketID[i] != id {
		r.bucketID[i], r.net[i] = id, 0
	}
	r.net[i] += int32(n)
}

// since sums the buckets from t on.
func (r *netStarts) since(t time.Time) int32 {
	id := t.UnixNano() / int64(netStartsBucketWidth)
	var sum int32
	for i := range r.bucketID {
		if r.bucketID[i] >= id {
			sum += r.net[i]
		}
	}
	return sum
}
