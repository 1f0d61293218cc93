package routing

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/laureltally/laureltally/ident"
)

// CrossRegionVolume counts the bytes that environments send across regions and
// limits them to the paid volume. It is not safe for concurrent use.
type CrossRegionVolume struct {
	opts    CrossRegionVolumeOptions
	bytes   map[ident.Environment]int64
	buckets map[ident.Environment]*rate.Limiter
}

// NewCrossRegionVolume returns an empty CrossRegionVolume. It fails with an
// *OptionError.
func NewCrossRegionVolume(o CrossRegionVolumeOptions) (*CrossRegionVolume, error) {
	switch {
	case o.BytesPerSecond < 0:
		return nil, &OptionError{Field: "BytesPerSecond"}
	case o.BytesPerSecond > 0 && o.BurstBytes < 1:
		return nil, &OptionError{Field: "BurstBytes"}
	}
	return &CrossRegionVolume{
		opts:    o,
		bytes:   make(map[ident.Environment]int64),
		buckets: make(map[ident.Environment]*rate.Limiter),
	}, nil
}

// Add records n bytes sent across regions. Bytes over the paid volume are
// counted too, because a started request is not aborted for it.
func (v *CrossRegionVolume) Add(now time.Time, env ident.Environment, n int) {
	v.bytes[env] += int64(n)
	b := v.bucket(env)
	for step := v.opts.BurstBytes; b != nil && n > 0; n -= step {
		b.ReserveN(now, min(n, step))
	}
}

// Allows reports whether an environment may send another request to a different
// region.
func (v *CrossRegionVolume) Allows(now time.Time, env ident.Environment) bool {
	b := v.bucket(env)
	return b == nil || b.TokensAt(now) > 0
}

// Bytes returns how much an environment has sent across regions.
func (v *CrossRegionVolume) Bytes(env ident.Environment) int64 { return v.bytes[env] }

// bucket returns the token bucket of an environment, or nil if there is no
// limit.
func (v *CrossRegionVolume) bucket(env ident.Environment) *rate.Limiter {
	if v.opts.BytesPerSecond <= 0 {
		return nil
	}
	b := v.buckets[env]
	if b == nil {
		b = rate.NewLimiter(rate.Limit(v.opts.BytesPerSecond), v.opts.BurstBytes)
		v.buckets[env] = b
	}
	return b
}
