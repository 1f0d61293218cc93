package keepalive

import (
	"cmp"
	"time"

	"github.com/laureltally/laureltally/config"
)

// Defaults of Config.
const (
	DefaultMaxKeys = 32768
	// DefaultExchange is how much idle accelerator time a unit of cold-start time
	// is worth at equal weights.
	DefaultExchange = 50
	// DefaultMinKeep is the minimum time that an idle replica stays loaded.
	DefaultMinKeep = 5 * time.Second
	// DefaultMaxKeep is the maximum time that an idle replica stays loaded.
	DefaultMaxKeep = 4 * time.Hour
	// DefaultShare is the share of an accelerator of a key of unknown size.
	DefaultShare = 0.25
	// DefaultTailPower is the exponent of the load time in the cost of a cold
	// start.
	DefaultTailPower = 1.5
	// DefaultReload is the load time assumed before one was observed.
	DefaultReload = 5 * time.Second
)

// Config configures a HistoryPolicy. Zero fields take their defaults.
type Config[K comparable] struct {
	// Aim weights cold starts against idle hours. Both weights zero mean equal
	// weights.
	Aim config.Aim
	// MaxKeys bounds the keys with a history. When it is reached, the least recently
	// used key of a sample is evicted.
	MaxKeys int
	// Exchange is how much idle time of a whole accelerator a unit of cold-start
	// time of one request is worth at equal weights.
	Exchange float64
	// MinKeep and MaxKeep bound how long an idle replica stays loaded.
	MinKeep, MaxKeep time.Duration
	// TailPower is the exponent of the load time in the cost of a cold start. Above
	// one, a long load costs more than several short ones of the same sum.
	TailPower float64
	// Reload is the load time assumed before one was observed.
	Reload time.Duration
	// Share returns the share of an accelerator that a key occupies, between 0 and
	// 1. Nil means DefaultShare for every key.
	Share func(K) float64
	// DailyProfile keeps a time-of-day profile for each key, which Prewarm and
	// Stage need. Leave it off for adapters, which load in milliseconds.
	DailyProfile bool
}

// withDefaults returns c with defaults in its zero fields.
func (c Config[K]) withDefaults() Config[K] {
	c.Aim = cmp.Or(c.Aim, config.Aim{ColdStart: 1, IdleHours: 1})
	c.MaxKeys = cmp.Or(c.MaxKeys, DefaultMaxKeys)
	c.Exchange = cmp.Or(c.Exchange, DefaultExchange)
	c.MinKeep = cmp.Or(c.MinKeep, DefaultMinKeep)
	c.MaxKeep = cmp.Or(c.MaxKeep, DefaultMaxKeep)
	c.TailPower = cmp.Or(c.TailPower, DefaultTailPower)
	c.Reload = cmp.Or(c.Reload, DefaultReload)
	if c.Share == nil {
		c.Share = func(K) float64 { return DefaultShare }
	}
	return c
}

// validate returns a *ConfigError for the first invalid field.
func (c Config[K]) validate() error {
	checks := []struct {
		invalid bool
		field   string
		value   any
	}{
		{c.Aim.ColdStart < 0, "Aim.ColdStart", c.Aim.ColdStart},
		{!(c.Aim.IdleHours > 0), "Aim.IdleHours", c.Aim.IdleHours},
		{c.MaxKeys < 1, "MaxKeys", c.MaxKeys},
		{!(c.Exchange > 0), "Exchange", c.Exchange},
		{c.MinKeep < 0, "MinKeep", c.MinKeep},
		{c.MaxKeep < c.MinKeep, "MaxKeep", c.MaxKeep},
		{!(c.TailPower > 0), "TailPower", c.TailPower},
		{c.Reload < 0, "Reload", c.Reload},
	}
	for _, k := range checks {
		if k.invalid {
			return &ConfigError{Field: k.field, Value: k.value}
		}
	}
	return nil
}
