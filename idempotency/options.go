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

// Options sets a Keeper for one environment. Zero fields take the defaults.
type Options struct {
	Environment ident.Environment
	Store       metastore.Store
	Inquirer    Inquirer
	// NewAttempt returns a name for an attempt that was never used before.
	NewAttempt func() ident.Attempt
	// Window returns the claim window of the document in force.
	Window func() time.Duration
	// Buckets is the number of bucket objects. All routers of an environment
	// must have the same number, or two of them could claim one key twice.
	Buckets int
	// BucketBytes bounds a bucket object for new claims, in bytes. It stays
	// below metastore.MaxValueBytes.
	BucketBytes int
	// InFlight bounds the calls to the platform at a time; a bucket has one at
	// most. While calls wait, more claims gather for each.
	InFlight int
	// CallTimeout bounds one call to the platform.
	CallTimeout time.Duration
	// RetryAfter is what a PlatformError tells callers if the platform said
	// nothing.
	RetryAfter time.Duration
	Now        func() time.Time
	// Jitter returns a number in [0, 1).
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
