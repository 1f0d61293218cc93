package admission

// DefaultMaxKeys bounds the buckets that a Limiter keeps.
const DefaultMaxKeys = 65536

// LimiterOptions configures a Limiter.
type LimiterOptions struct {
	// MaxKeys bounds the number of buckets. When it is reached, buckets that
	// have been full for a while are dropped, which changes no decision.
	MaxKeys int
}
