package residency

import (
	"cmp"
	"time"
)

// Defaults of Options.
const (
	// DefaultReportTimeout is the age from which a snapshot is no longer acted on;
	// snapshots are taken several times a second.
	DefaultReportTimeout = time.Second
	// DefaultRateHalfLife is the half-life of request rates; demand shifts between
	// models within about ten seconds.
	DefaultRateHalfLife = 8 * time.Second
	// DefaultMinLimit keeps a slow engine in use.
	DefaultMinLimit = 8
	// DefaultStartShare is the fraction of an engine's concurrency that is used
	// before any request has shown how long requests take.
	DefaultStartShare = 1
	// DefaultSettleTime is how long a newly loaded model can't be unloaded, so that
	// the requests it was loaded for can use it.
	DefaultSettleTime = 700 * time.Millisecond
	// DefaultRunTime is the assumed run time of a request before the first one has
	// ended.
	DefaultRunTime = 2 * time.Second
	// DefaultCacheShare is the fraction of the cache that requests may reserve.
	DefaultCacheShare = 0.9
	// DefaultOrderTimeout is how long after its acceptance an order without visible
	// effect still counts as in flight while the engine reports a load or unload in
	// progress.
	DefaultOrderTimeout = 20 * time.Second
)

// Options configures a Scheduler.
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
