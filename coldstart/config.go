package coldstart

import (
	"cmp"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Defaults of Config.
const (
	DefaultZoneDelay   = time.Millisecond
	DefaultRegionDelay = 30 * time.Millisecond
	// DefaultQuantile is the quantile of load times after which a load counts as
	// slow.
	DefaultQuantile = 0.95
	// DefaultUnload is the time to unload an idle replica.
	DefaultUnload = 500 * time.Millisecond
	// DefaultCrossMargin is how much faster a replica in another region must be,
	// beyond the network delay.
	DefaultCrossMargin = 20 * time.Millisecond
	// DefaultReportLag is the maximum age of a VM's report.
	DefaultReportLag = 5 * time.Second
	// DefaultAvoid is how long a VM comes last in load order after a failed load.
	DefaultAvoid = time.Minute
	// DefaultServiceTime is the assumed duration of a request of unknown duration.
	DefaultServiceTime = 5 * time.Second
	// DefaultMaxModels bounds the models whose loads are tracked.
	DefaultMaxModels = 4096
)

// Config configures a Chooser. Zero fields take their defaults.
type Config struct {
	// Region and Zone are those of the router.
	Region ident.Region
	Zone   ident.Zone
	// ZoneDelay and RegionDelay are the one-way network delays to another
	// availability zone of the region and to another region.
	ZoneDelay, RegionDelay time.Duration
	// Quantile is the quantile of load times after which a load counts as slow.
	Quantile float64
	// Unload is the time to unload another replica if the VM's memory is full.
	Unload time.Duration
	// CrossMargin is how much faster a replica in another region must be, beyond
	// the network delay, to be preferred to one in the router's region.
	CrossMargin time.Duration
	// ReportLag is the maximum age of a VM's report. An overdue load that is older
	// and in no report counts as failed.
	ReportLag time.Duration
	// Avoid is how long a VM comes last in load order after a failed load.
	Avoid time.Duration
	// ServiceTime is the assumed duration of a request of unknown duration.
	ServiceTime time.Duration
	// MaxModels bounds the models whose loads are tracked.
	MaxModels int
}

// withDefaults returns c with defaults in its zero fields.
func (c Config) withDefaults() Config {
	c.ZoneDelay = cmp.Or(c.ZoneDelay, DefaultZoneDelay)
	c.RegionDelay = cmp.Or(c.RegionDelay, DefaultRegionDelay)
	c.Quantile = cmp.Or(c.Quantile, DefaultQuantile)
	c.Unload = cmp.Or(c.Unload, DefaultUnload)
	c.CrossMargin = cmp.Or(c.CrossMargin, DefaultCrossMargin)
	c.ReportLag = cmp.Or(c.ReportLag, DefaultReportLag)
	c.Avoid = cmp.Or(c.Avoid, DefaultAvoid)
	c.ServiceTime = cmp.Or(c.ServiceTime, DefaultServiceTime)
	c.MaxModels = cmp.Or(c.MaxModels, DefaultMaxModels)
	return c
}

// validate returns a *ConfigError for the first invalid field.
func (c Config) validate() error {
	switch {
	case c.Region == "":
		return &ConfigError{Field: "Region", Value: c.Region}
	case c.ZoneDelay < 0:
		return &ConfigError{Field: "ZoneDelay", Value: c.ZoneDelay}
	case c.RegionDelay < 0:
		return &ConfigError{Field: "RegionDelay", Value: c.RegionDelay}
	case c.Quantile <= 0 || c.Quantile >= 1:
		return &ConfigError{Field: "Quantile", Value: c.Quantile}
	case c.Unload < 0:
		return &ConfigError{Field: "Unload", Value: c.Unload}
	case c.CrossMargin < 0:
		return &ConfigError{Field: "CrossMargin", Value: c.CrossMargin}
	case c.ReportLag < 0:
		return &ConfigError{Field: "ReportLag", Value: c.ReportLag}
	case c.Avoid < 0:
		return &ConfigError{Field: "Avoid", Value: c.Avoid}
	case c.ServiceTime < 0:
		return &ConfigError{Field: "ServiceTime", Value: c.ServiceTime}
	case c.MaxModels < 1:
		return &ConfigError{Field: "MaxModels", Value: c.MaxModels}
	}
	return nil
}
