package document

import (
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// Defaults of a Watcher.
const (
	DefaultRelist   = time.Minute
	DefaultMaxRetry = 3 * time.Second

	// minRetry is the mean of the first pause after a failure, and retryJitter
	// the share by which pauses vary, so that processes that lost their watches
	// together come back spread out.
	minRetry    = time.Second
	retryJitter = 0.9
	// relistJitter is the share by which the time between listings varies.
	relistJitter = 0.5
)

// WatcherOptions configures a Watcher.
type WatcherOptions struct {
	Store       metastore.Store
	Environment ident.Environment
	// Stage is the document to follow; empty takes SlotProduction.
	Stage Stage
	// Logger receives a line for each version that is brought in force or
	// rejected; nil takes log.Log.
	Logger log.Interface
	// OnChange is called with each document brought in force, one after the other.
	OnChange func(Active)
	// Relist is the longest time without a listing, less a random part. Zero
	// takes DefaultRelist.
	Relist time.Duration
	// MaxRetry is the longest pause after failures. Zero takes DefaultMaxRetry.
	MaxRetry time.Duration
	// Random draws from [0, 1); nil takes math/rand.
	Random func() float64
}
