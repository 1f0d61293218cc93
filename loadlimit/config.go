package loadlimit

import (
	"cmp"
	"time"

	"github.com/laureltally/laureltally/config"
)

// Defaults of Config.
const (
	// DefaultExpectedLoad is the mean load time of models before the first load
	// has ended.
	DefaultExpectedLoad = 15 * time.Second
	// DefaultExpectedAdapter is the mean load time of adapters before the first
	// load has ended.
	DefaultExpectedAdapter = 15 * time.Millisecond
	// DefaultExpiryFactor is the number of mean load times without a heartbeat
	// after which a permit expires.
	DefaultExpiryFactor = 4
	// DefaultMinExpiry is the minimum time without a heartbeat before a permit
	// expires.
	DefaultMinExpiry = 2 * time.Second
	DefaultMaxQueue  = 4096
)

// Config holds the settings of a Limiter. Zero fields take their defaults.
type Config struct {
	// Store holds the limits of the weight store. All three are required.
	Store config.WeightStore
	// ExpectedLoad and ExpectedAdapter are the mean load times of models and
	// adapters before the first load has ended.
	ExpectedLoad, ExpectedAdapter time.Duration
	// ExpiryFactor is the number of mean load times without a heartbeat after
	// which a permit expires, and MinExpiry the minimum of that time.
	ExpiryFactor float64
	MinExpiry    time.Duration
	// MaxQueue bounds the number of queued requests.
	MaxQueue int
}

// withDefaults returns c with defaults in place of zero fields.
func (c Config) withDefaults() Config {
	c.ExpectedLoad = cmp.Or(c.ExpectedLoad, DefaultExpectedLoad)
	c.ExpectedAdapter = cmp.Or(c.ExpectedAdapter, DefaultExpectedAdapter)
	c.ExpiryFactor = cmp.Or(c.ExpiryFactor, DefaultExpiryFactor)
	c.MinExpiry = cmp.Or(c.MinExpiry, DefaultMinExpiry)
	c.MaxQueue = cmp.Or(c.MaxQueue, DefaultMaxQueue)
	return c
}

// validate returns a *ConfigError for the first field with an invalid value.
func (c Config) validate() error {
	checks := []struct {
		invalid bool
		field   string
		value   any
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
		if k.invalid {
			return &ConfigError{Field: k.field, Value: k.value}
		}
	}
	return nil
}
