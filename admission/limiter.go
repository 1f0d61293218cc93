package admission

import (
	"math"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"
)

// jitterShare is the part by which a RetryAfter is lengthened at most.
const jitterShare = 0.5

// Limiter holds a token bucket for each environment and caller. It is not safe
// for concurrent use.
type Limiter struct {
	maxKeys int
	rand    *rand.Rand
	buckets map[LimitKey]*rate.Limiter
}

// NewLimiter returns a Limiter. Random numbers from r spread RetryAfter.
func NewLimiter(o LimiterOptions, r *rand.Rand) (*Limiter, error) {
	if o.MaxKeys == 0 {
		o.MaxKeys = DefaultMaxKeys
	}
	if o.MaxKeys < 1 {
		return nil, &OptionError{Field: "MaxKeys"}
	}
	if r == nil {
		return nil, &OptionError{Field: "Rand"}
	}
	return &Limiter{maxKeys: o.MaxKeys, rand: r, buckets: make(map[LimitKey]*rate.Limiter)}, nil
}

// Allow takes one token from the bucket of k, whose limit is want. A changed
// limit applies at once. If no token is there it takes none and returns false
// with the time after which the caller should try again.
func (l *Limiter) Allow(now time.Time, k LimitKey, want Rate) (time.Duration, bool) {
	if want.PerSecond <= 0 {
		return 0, true
	}
	b := l.bucket(now, k, want)
	if b.AllowN(now, 1) {
		return 0, true
	}
	missing := 1 - b.TokensAt(now)
	wait := time.Duration(missing / want.PerSecond * float64(time.Second))
	return spread(l.rand, wait, time.Duration(float64(time.Second)/want.PerSecond)), false
}

// AllowAll takes one token from each bucket, or none. It returns the longest
// wait if any bucket lacks a token.
func (l *Limiter) AllowAll(now time.Time, keys []LimitKey, wants []Rate) (time.Duration, bool) {
	var longest time.Duration
	for i, k := range keys {
		longest = max(longest, l.missing(now, k, wants[i]))
	}
	if longest > 0 {
		return spread(l.rand, longest, longest), false
	}
	for i, k := range keys {
		l.Allow(now, k, wants[i])
	}
	return 0, true
}

// missing returns how long k has to wait for its next token.
func (l *Limiter) missing(now time.Time, k LimitKey, want Rate) time.Duration {
	if want.PerSecond <= 0 {
		return 0
	}
	lack := 1 - l.bucket(now, k, want).TokensAt(now)
	return time.Duration(max(0, lack) / want.PerSecond * float64(time.Second))
}

func (l *Limiter) bucket(now time.Time, k LimitKey, want Rate) *rate.Limiter {
	limit, burst := rate.Limit(want.PerSecond), max(1, want.Burst)
	b := l.buckets[k]
	if b == nil {
		l.makeRoom(now)
		b = rate.NewLimiter(limit, burst)
		l.buckets[k] = b
		return b
	}
	if b.Limit() != limit {
		b.SetLimitAt(now, limit)
	}
	if b.Burst() != burst {
		b.SetBurstAt(now, burst)
	}
	return b
}

// makeRoom drops full buckets, which a new bucket would equal, and if there are
// none an arbitrary one.
func (l *Limiter) makeRoom(now time.Time) {
	if len(l.buckets) < l.maxKeys {
		return
	}
	for k, b := range l.buckets {
		if b.TokensAt(now) >= float64(b.Burst()) {
			delete(l.buckets, k)
		}
	}
	for k := range l.buckets {
		if len(l.buckets) < l.maxKeys {
			return
		}
		delete(l.buckets, k)
	}
}

// spread lengthens wait by up to jitterShare of it and by up to one step.
func spread(r *rand.Rand, wait, step time.Duration) time.Duration {
	reach := float64(wait)*jitterShare + float64(step)
	return wait + time.Duration(math.Floor(r.Float64()*reach))
}
