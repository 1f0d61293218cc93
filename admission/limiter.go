package admission

import (
	"math"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"
)

// jitterShare is the largest fraction by which jitter lengthens a RetryAfter.
const jitterShare = 0.5

// Limiter holds a token bucket for each environment and caller. It is not safe
// for concurrent use.
type Limiter struct {
	maxKeys int
	rand    *rand.Rand
	buckets map[LimitKey]*rate.Limiter
}

// NewLimiter returns a Limiter. r supplies the jitter of RetryAfter. It fails
// with an *OptionError.
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

// Allow takes one token from the bucket of k with the given limit. A changed
// limit applies at once. If no token is available, Allow takes none and returns
// false with the time after which the caller should retry.
func (l *Limiter) Allow(now time.Time, k LimitKey, limit Rate) (time.Duration, bool) {
	if limit.PerSecond <= 0 {
		return 0, true
	}
	b := l.bucket(now, k, limit)
	if b.AllowN(now, 1) {
		return 0, true
	}
	missing := 1 - b.TokensAt(now)
	wait := time.Duration(missing / limit.PerSecond * float64(time.Second))
	return addJitter(l.rand, wait, time.Duration(float64(time.Second)/limit.PerSecond)), false
}

// AllowAll takes one token from each bucket, or none. If any bucket has no
// token, it returns false with the longest wait.
func (l *Limiter) AllowAll(now time.Time, keys []LimitKey, limits []Rate) (time.Duration, bool) {
	var longest time.Duration
	for i, k := range keys {
		longest = max(longest, l.waitForToken(now, k, limits[i]))
	}
	if longest > 0 {
		return addJitter(l.rand, longest, longest), false
	}
	for i, k := range keys {
		l.Allow(now, k, limits[i])
	}
	return 0, true
}

// waitForToken returns the time until the bucket of k has a token.
func (l *Limiter) waitForToken(now time.Time, k LimitKey, limit Rate) time.Duration {
	if limit.PerSecond <= 0 {
		return 0
	}
	missing := 1 - l.bucket(now, k, limit).TokensAt(now)
	return time.Duration(max(0, missing) / limit.PerSecond * float64(time.Second))
}

func (l *Limiter) bucket(now time.Time, k LimitKey, r Rate) *rate.Limiter {
	limit, burst := rate.Limit(r.PerSecond), max(1, r.Burst)
	b := l.buckets[k]
	if b == nil {
		l.evictBuckets(now)
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

// evictBuckets makes room for one more bucket if there are maxKeys. It removes
// full buckets, which are equivalent to new ones, and then arbitrary others as
// needed.
func (l *Limiter) evictBuckets(now time.Time) {
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

// addJitter lengthens wait by a random time of up to jitterShare*wait + step.
func addJitter(r *rand.Rand, wait, step time.Duration) time.Duration {
	maxJitter := float64(wait)*jitterShare + float64(step)
	return wait + time.Duration(math.Floor(r.Float64()*maxJitter))
}
