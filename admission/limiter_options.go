package admission

// DefaultMaxKeys is the default of LimiterOptions.MaxKeys.
const DefaultMaxKeys = 65536

// LimiterOptions configures a Limiter.
type LimiterOptions struct {
	// MaxKeys bounds the number of buckets. When it is reached, full buckets are
	// removed first, which changes no decision.
	MaxKeys int
}
