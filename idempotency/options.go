package idempotency

import (
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// Defaults of Options.
const (
	DefaultBuckets     = 256
	DefaultBucketBytes = 256 << 10
	DefaultInFlight    = 16
	DefaultCallTimeout = 2 * time.Second
	DefaultRetryAfter  = time.Second
	DefaultWindow      = time.Hour
)

// Options configures a Manager for one environment. Zero fields take their
// defaults.
type Options struct {
	Environment ident.Environment
	Store       metastore.Store
	Inquirer    Inquirer
	// NewAttempt returns a new, unique attempt identifier.
	NewAttempt func() ident.Attempt
	// Window returns the claim window of the configuration document in force.
	Window func() time.Duration
	// Buckets is the number of bucket objects. It must be the same for all
	// routers of an environment; otherwise two of them could claim the same
	// key.
	Buckets int
	// BucketBytes limits the size of a bucket object for new records, in bytes.
	// It must be less than metastore.MaxValueBytes.
	BucketBytes int
	// InFlight limits the concurrent calls to the platform, of which a bucket
	// has at most one. Operations that are queued during a call share the next
	// one.
	InFlight int
	// CallTimeout limits one call to the platform.
	CallTimeout time.Duration
	// RetryAfter is the value in a PlatformError if the platform did not return
	// one.
	RetryAfter time.Duration
	Now        func() time.Time
	// Jitter returns a factor in [0, 1) by which the delay before a retry is
	// multiplied. By default the delay is not shortened.
	Jitter func() float64
	Logger log.Interface
}

func (o Options) withDefaults() Options {
	if o.Buckets == 0 {
		o.Buckets = DefaultBuckets
	}
	if o.BucketBytes == 0 {
		o.BucketBytes = DefaultBucketBytes
	}
	if o.InFlight == 0 {
		o.InFlight = DefaultInFlight
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.RetryAfter == 0 {
		o.RetryAfter = DefaultRetryAfter
	}
	if o.Window == nil {
		o.Window = func() time.Duration { return DefaultWindow }
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Jitter == nil {
		o.Jitter = func() float64 { return 1 }
	}
	if o.Logger == nil {
		o.Logger = log.Log
	}
	return o
}
