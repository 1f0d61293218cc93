package routing

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/laureltally/laureltally/ident"
)

// Volume counts the bytes that environments send across regions and tells which
// of them have paid volume left. It is not safe for concurrent use.
type Volume struct {
	opts    VolumeOptions
	bytes   map[ident.Environment]int64
	buckets map[ident.Environment]*rate.Limiter
}

// NewVolume returns a Volume that has counted nothing. It fails with an
// *OptionError.
func NewVolume(o VolumeOptions) (*Volume, error) {
	switch {
	case o.BytesPerSecond < 0:
		return nil, &OptionError{Field: "BytesPerSecond"}
	case o.BytesPerSecond > 0 && o.BurstBytes < 1:
		return nil, &OptionError{Field: "BurstBytes"}
	}
	return &Volume{
		opts:    o,
		bytes:   make(map[ident.Environment]int64),
		buckets: make(map[ident.Environment]*rate.Limiter),
	}, nil
}

// Add counts n bytes that have crossed regions. They are counted even over the
// paid volume: a request that has begun is not cut for it.
func (v *Volume) Add(now time.Time, env ident.Environment, n int) {
	v.bytes[env] += int64(n)
	b := v.bucket(env)
	for step := v.opts.BurstBytes; b != nil && n > 0; n -= step {
		b.ReserveN(now, min(n, step))
	}
}

// Allows tells whether an environment may start another crossing.
func (v *Volume) Allows(now time.Time, env ident.Environment) bool {
	b := v.bucket(env)
	return b == nil || b.TokensAt(now) > 0
}

// Bytes is how much an environment has sent across regions.
func (v *Volume) Bytes(env ident.Environment) int64 { return v.bytes[env] }

// bucket returns nil when there is no bound.
func (v *Volume) bucket(env ident.Environment) *rate.Limiter {
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
