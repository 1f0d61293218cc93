package requestlimit

import (
	"math/rand/v2"
	"time"

	"github.com/laureltally/laureltally/serving"
)

const (
	// usedShare is the fraction of a limit that routers divide, since the times at which
	// they send are independent of one another.
	usedShare = 0.8
	// besideSidecarShare is the fraction that routers divide which can't reach a
	// sidecar, as others may.
	besideSidecarShare = 0.4
	// creditTTL is how long a router may put off a request that it is due. Were credits
	// kept, hundreds of routers could use theirs together.
	creditTTL = time.Second
)

// Share is the part of one router in a server's limit. The zero value has no limit.
type Share struct {
	limit serving.RequestLimit
	// next is when the next request is due.
	next time.Time
	// every is the interval for which next was computed.
	every time.Duration
}

// Limit returns the whole limit.
func (s *Share) Limit() serving.RequestLimit { return s.limit }

// Set sets the limit, of all routers together.
func (s *Share) Set(l serving.RequestLimit) {
	if !l.Named {
		*s = Share{}
		return
	}
	s.limit = l
}

// Wait returns the time until this router may send a request, being one of a number of
// routers. HasSidecar is set if the server has a sidecar that others may reach.
func (s *Share) Wait(now time.Time, routers int, hasSidecar bool, r *rand.Rand) time.Duration {
	if !s.limit.Named {
		return 0
	}
	s.advance(now, routers, hasSidecar, r)
	return max(0, s.next.Sub(now))
}

// Take counts a request that this router sends.
func (s *Share) Take(now time.Time, routers int, hasSidecar bool, r *rand.Rand) {
	if !s.limit.Named {
		return
	}
	s.advance(now, routers, hasSidecar, r)
	s.next = s.next.Add(s.every)
}

// advance drops the requests that were due more than creditTTL ago. The first one is due
// after a random part of the interval, so that routers which learn of a limit together
// don't send together.
func (s *Share) advance(now time.Time, routers int, hasSidecar bool, r *rand.Rand) {
	share := usedShare
	if hasSidecar {
		share = besideSidecarShare
	}
	every := interval(s.limit, share/float64(max(1, routers)))
	if s.next.IsZero() || every < s.every && s.next.Sub(now) > every {
		s.next = now.Add(time.Duration(r.Float64() * float64(every)))
	}
	s.every = every
	if late := now.Sub(s.next) - creditTTL; late > 0 {
		s.next = s.next.Add((late/every + 1) * every)
	}
}
