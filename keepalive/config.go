package keepalive

import (
	"time"

	"github.com/laureltally/laureltally/config"
)

// Defaults of Config.
const (
	DefaultMaxKeys = 32768
	// DefaultExchange is the idle time that one cold request is worth at equal
	// weights.
	DefaultExchange = 10 * time.Minute
	// DefaultMinKeep is the least time that an idle replica stays.
	DefaultMinKeep = 5 * time.Second
	// DefaultMaxKeep is the most time that an idle replica stays.
	DefaultMaxKeep = 4 * time.Hour
	// DefaultLead is how long before a likely request a model is loaded.
	DefaultLead = 30 * time.Second
)

// Config holds the settings of a Keeper. Zero fields take their defaults.
type Config struct {
	// Aim weighs cold starts against idle hours. Both weights zero mean equal
	// weights.
	Aim config.Aim
	// MaxKeys bounds the keys whose history is kept. The keys that were used
	// longest ago are forgotten.
	MaxKeys int
	// Exchange is the idle time of one replica that one cold request is worth
	// at equal weights.
	Exchange time.Duration
	// MinKeep and MaxKeep bound how long an idle replica stays.
	MinKeep, MaxKeep time.Duration
	// Daily keeps a profile of the day for each key, from which Prewarm is
	// derived. Leave it off for adapters, which load in milliseconds.
	Daily bool
	// Lead is how long before a likely request a model is loaded.
	Lead time.Duration
}

// withDefaults returns c with its zero fields set.
func (c Config) withDefaults() Config {
	if c.Aim == (config.Aim{}) {
		c.Aim = config.Aim{ColdStart: 1, IdleHours: 1}
	}
	setDefault(&c.MaxKeys, DefaultMaxKeys)
	setDefault(&c.Exchange, DefaultExchange)
	setDefault(&c.MinKeep, DefaultMinKeep)
	setDefault(&c.MaxKeep, DefaultMaxKeep)
	setDefault(&c.Lead, DefaultLead)
	return c
}

// setDefault sets a zero field.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// validate returns a *ConfigError for the first field that can't be used.
func (c Config) validate() error {
	checks := []struct {
		bad   bool
		field string
		value any
	}{
		{c.Aim.ColdStart < 0, "Aim.ColdStart", c.Aim.ColdStart},
		{c.Aim.IdleHours <= 0, "Aim.IdleHours", c.Aim.IdleHours},
		{c.MaxKeys < 1, "MaxKeys", c.MaxKeys},
		{c.Exchange < 0, "Exchange", c.Exchange},
		{c.MinKeep < 0, "MinKeep", c.MinKeep},
		{c.MaxKeep < c.MinKeep, "MaxKeep", c.MaxKeep},
		{c.Lead < 0, "Lead", c.Lead},
	}
	for _, k := range checks {
		if k.bad {
			return &ConfigError{Field: k.field, Value: k.value}
		}
	}
	return nil
}
