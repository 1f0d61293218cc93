package loadlimit

import (
	"cmp"
	"time"

	"github.com/laureltally/laureltally/config"
)

// Defaults of Config.
const (
	// DefaultExpectedLoad is how long a load is taken to last until one was seen.
	DefaultExpectedLoad = 15 * time.Second
	// DefaultExpectedAdapter is the same for an adapter.
	DefaultExpectedAdapter = 15 * time.Millisecond
	// DefaultExpiryFactor is after how many expected load times a holder that is
	// not heard of loses its place.
	DefaultExpiryFactor = 4
	// DefaultMinExpiry is the least time that a holder keeps its place.
	DefaultMinExpiry = 2 * time.Second
	DefaultMaxQueue  = 4096
)

// Config holds the settings of a Gate. Zero fields take their defaults.
type Config struct {
	// Store gives the limits of the weight store. All three are required.
	Store config.WeightStore
	// ExpectedLoad and ExpectedAdapter are how long a load is taken to last
	// until one was seen.
	ExpectedLoad, ExpectedAdapter time.Duration
	// ExpiryFactor is after how many expected load times a holder that is not
	// heard of loses its place, and MinExpiry the least such time.
	ExpiryFactor float64
	MinExpiry    time.Duration
	// MaxQueue bounds the requests that wait.
	MaxQueue int
}

// withDefaults returns c with its zero fields set.
func (c Config) withDefaults() Config {
	c.ExpectedLoad = cmp.Or(c.ExpectedLoad, DefaultExpectedLoad)
	c.ExpectedAdapter = cmp.Or(c.ExpectedAdapter, DefaultExpectedAdapter)
	c.ExpiryFactor = cmp.Or(c.ExpiryFactor, DefaultExpiryFactor)
	c.MinExpiry = cmp.Or(c.MinExpiry, DefaultMinExpiry)
	c.MaxQueue = cmp.Or(c.MaxQueue, DefaultMaxQueue)
	return c
}

// validate returns a *ConfigError for the first field that can't be used.
func (c Config) validate() error {
	checks := []struct {
		bad   bool
		field string
		value any
	}{
		{!(c.Store.LoadsPerSecond > 0), "Store.LoadsPerSecond", c.Store.LoadsPerSecond},
		{c.Store.ParallelLoads < 1, "Store.ParallelLoads", c.Store.ParallelLoads},
		{c.Store.ParallelAdapters < 1, "Store.ParallelAdapters", c.Store.ParallelAdapters},
		{c.ExpectedLoad < 0, "ExpectedLoad", c.ExpectedLoad},
		{c.ExpectedAdapter < 0, "ExpectedAdapter", c.ExpectedAdapter},
		{!(c.ExpiryFactor > 1), "ExpiryFactor", c.ExpiryFactor},
		{c.MinExpiry < 0, "MinExpiry", c.MinExpiry},
		{c.MaxQueue < 1, "MaxQueue", c.MaxQueue},
	}
	for _, k := range checks {
		if k.bad {
			return &ConfigError{Field: k.field, Value: k.value}
		}
	}
	return nil
}
