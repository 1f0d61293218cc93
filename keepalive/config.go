package keepalive

import (
	"cmp"
	"time"

	"github.com/laureltally/laureltally/config"
)

// Defaults of Config.
const (
	DefaultMaxKeys = 32768
	// DefaultExchange is the idle accelerator time that a unit of cold-start
	// time is worth at equal weights.
	DefaultExchange = 50
	// DefaultMinKeep is the least time that an idle replica stays.
	DefaultMinKeep = 5 * time.Second
	// DefaultMaxKeep is the most time that an idle replica stays.
	DefaultMaxKeep = 4 * time.Hour
	// DefaultShare is the share of an accelerator that a key takes whose size is
	// not known.
	DefaultShare = 0.25
	// DefaultTailPower is the power of the load time that its worth grows with.
	DefaultTailPower = 1.5
	// DefaultReload is the load time that is expected until one was seen.
	DefaultReload = 5 * time.Second
)

// Config holds the settings of a Keeper. Zero fields take their defaults.
type Config[K comparable] struct {
	// Aim weighs cold starts against idle hours. Both weights zero mean equal
	// weights.
	Aim config.Aim
	// MaxKeys bounds the keys whose history is kept. The keys that were used
	// longest ago are forgotten.
	MaxKeys int
	// Exchange is the idle time of a whole accelerator that a unit of cold-start
	// time of one request is worth at equal weights.
	Exchange float64
	// MinKeep and MaxKeep bound how long an idle replica stays.
	MinKeep, MaxKeep time.Duration
	// TailPower is the power of the load time that its worth grows with. Above
	// one, a long load counts more than several short ones of the same sum.
	TailPower float64
	// Reload is the load time that is expected until one was seen.
	Reload time.Duration
	// Share returns the share of an accelerator that a key takes, between 0 and
	// 1. Nil means DefaultShare for every key.
	Share func(K) float64
	// DailyProfile keeps a profile of the day for each key, from which Prewarm and
	// Stage are derived. Leave it off for adapters, which load in milliseconds.
	DailyProfile bool
}

// withDefaults returns c with its zero fields set.
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

// validate returns a *ConfigError for the first field that can't be used.
func (c Config[K]) validate() error {
	checks := []struct {
		bad   bool
		field string
		value any
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
		if k.bad {
			return &ConfigError{Field: k.field, Value: k.value}
		}
	}
	return nil
}
