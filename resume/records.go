package resume

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

const (
	// recordTTL is how long a record is kept at least, while there are no more than
	// maxRecords. Callers resume a stream within its timeout, some tens of seconds.
	recordTTL = time.Minute
	// maxRecords bounds the records of each generation; a record takes about 150 bytes.
	maxRecords = 8192
)

// Records holds the software versions that began streams. It is not safe for concurrent
// use.
type Records struct {
	// recent and previous are two generations of records. The older one is dropped
	// when the newer one is full or recordTTL old.
	recent, previous map[stream]string
	recentSince      time.Time
}

type stream struct {
	service ident.Upstream
	request string
}

// Put records the version that began a stream. Request is the id of the caller's attempt
// that got the first event.
func (r *Records) Put(now time.Time, service ident.Upstream, request, software string) {
	if r.recent == nil || len(r.recent) >= maxRecords || now.Sub(r.recentSince) >= recordTTL {
		r.previous, r.recent, r.recentSince = r.recent, make(map[stream]string), now
	}
	r.recent[stream{service, request}] = software
}

// Get returns the version that began a stream, and false if it is unknown.
func (r *Records) Get(service ident.Upstream, request string) (string, bool) {
	k := stream{service, request}
	if software, ok := r.recent[k]; ok {
		return software, true
	}
	software, ok := r.previous[k]
	return software, ok
}
