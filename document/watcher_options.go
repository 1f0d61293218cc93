package document

import (
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// Defaults of a Watcher.
const (
	DefaultRelistInterval = time.Minute
	DefaultMaxRetryDelay  = 3 * time.Second

	// initialRetryDelay is the mean delay after a first failure. Delays vary randomly
	// by the fraction retryJitter, so that processes whose watches end at the same
	// time do not retry at the same time.
	initialRetryDelay = time.Second
	retryJitter       = 0.9
	// relistJitter is the fraction by which the time between listings varies.
	relistJitter = 0.5
)

// WatcherOptions configures a Watcher.
type WatcherOptions struct {
	Store       metastore.Store
	Environment ident.Environment
	// Stage selects the document to watch; empty means StageProduction.
	Stage Stage
	// Logger receives a message for each version that is put in force or rejected;
	// nil means log.Log.
	Logger log.Interface
	// OnChange is called with each document that is put in force, never concurrently.
	OnChange func(Active)
	// RelistInterval is the maximum time between listings, from which a random part is
	// subtracted. Zero means DefaultRelistInterval.
	RelistInterval time.Duration
	// MaxRetryDelay is the maximum mean delay after failures. Zero means
	// DefaultMaxRetryDelay.
	MaxRetryDelay time.Duration
	// Random returns a number in [0, 1); nil means rand.Float64.
	Random func() float64
}
