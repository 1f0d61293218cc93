package quarantine

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

const (
	// soundTTL is how long it is remembered at least that a trait was answered soundly,
	// while there are no more than maxSoundRecords.
	soundTTL = time.Minute
	// maxSoundRecords bounds the traits of each generation; one takes about 50 bytes.
	maxSoundRecords = 4096
)

// soundRecords holds when the newest sound answer to a request with each trait began. The
// older of its two generations is dropped when the newer one is full or soundTTL old.
type soundRecords struct {
	recent, previous map[ident.Trait]time.Time
	recentSince      time.Time
}

func (r *soundRecords) put(s Sound) {
	if !s.BegunAt.After(r.get(s.Trait)) {
		return
	}
	if r.recent == nil || len(r.recent) >= maxSoundRecords || s.BegunAt.Sub(r.recentSince) >= soundTTL {
		r.previous, r.recent, r.recentSince = r.recent, make(map[ident.Trait]time.Time), s.BegunAt
	}
	r.recent[s.Trait] = s.BegunAt
}

// get returns the zero time for an unknown trait.
func (r *soundRecords) get(t ident.Trait) time.Time {
	if at, ok := r.recent[t]; ok {
		return at
	}
	return r.previous[t]
}
