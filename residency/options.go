package residency

import (
	"cmp"
	"time"
)

// Defaults of Options.
const (
	// DefaultReportTimeout is the age from which a snapshot is not acted on; reads
	// come several times a second.
	DefaultReportTimeout = time.Second
	// DefaultRateHalfLife is how quickly past requests for a model count less:
	// demand moves on within some ten seconds.
	DefaultRateHalfLife = 8 * time.Second
	// DefaultMinLimit keeps a slow engine in use.
	DefaultMinLimit = 8
	// DefaultStartShare is the part of an engine's places that is used before any
	// request has told how long requests take.
	DefaultStartShare = 0.25
	// DefaultSettleTime is how long a model stays that has just been loaded, so that
	// the requests which it was loaded for find it.
	DefaultSettleTime = 700 * time.Millisecond
	// DefaultRunTime stands for the time of a request until one has ended.
	DefaultRunTime = 2 * time.Second
	// DefaultCacheShare is the part of the cache that requests may reserve.
	DefaultCacheShare = 0.9
	// DefaultOrderTimeout is how long an accepted order may show no effect before
	// the engine is believed.
	DefaultOrderTimeout = 20 * time.Second
)

// Options configures a Machine.
type Options struct {
	ReportTimeout time.Duration
	RateHalfLife  time.Duration
	MinLimit      float64
	StartShare    float64
	SettleTime    time.Duration
	RunTime       time.Duration
	CacheShare    float64
	OrderTimeout  time.Duration
}

func (o Options) withDefaults() Options {
	o.ReportTimeout = cmp.Or(o.ReportTimeout, DefaultReportTimeout)
	o.RateHalfLife = cmp.Or(o.RateHalfLife, DefaultRateHalfLife)
	o.MinLimit = cmp.Or(o.MinLimit, DefaultMinLimit)
	o.StartShare = cmp.Or(o.StartShare, DefaultStartShare)
	o.SettleTime = cmp.Or(o.SettleTime, DefaultSettleTime)
	o.RunTime = cmp.Or(o.RunTime, DefaultRunTime)
	o.CacheShare = cmp.Or(o.CacheShare, DefaultCacheShare)
	o.OrderTimeout = cmp.Or(o.OrderTimeout, DefaultOrderTimeout)
	return o
}
