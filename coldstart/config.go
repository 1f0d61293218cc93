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
	// DefaultQuantile is the share of loads that end before a load counts as
	// slow.
	DefaultQuantile = 0.95
	// DefaultUnload is how long it takes to unload an idle replica.
	DefaultUnload = 500 * time.Millisecond
	// DefaultCrossMargin is what another region must gain beyond its delay.
	DefaultCrossMargin = 20 * time.Millisecond
	// DefaultReportLag is how old a report of a VM may be.
	DefaultReportLag = 5 * time.Second
	// DefaultAvoid is how long a VM is woken last on which a load failed.
	DefaultAvoid = time.Minute
	// DefaultServiceTime is how long a request is taken to last whose time is
	// not known.
	DefaultServiceTime = 5 * time.Second
	// DefaultMaxModels bounds the models whose loads are followed.
	DefaultMaxModels = 4096
)

// Config holds the settings of a Chooser. Zero fields take their defaults.
type Config struct {
	// Region and Zone are those of the router.
	Region ident.Region
	Zone   ident.Zone
	// ZoneDelay and RegionDelay are the times one way to another availability
	// zone of the same region and to another region.
	ZoneDelay, RegionDelay time.Duration
	// Quantile of the load time after which a load counts as slow.
	Quantile float64
	// Unload is how long it takes to make room on a VM whose memory is full.
	Unload time.Duration
	// CrossMargin is what a replica in another region must gain, beyond the
	// delay of the link, to be used instead of one in the router's region.
	CrossMargin time.Duration
	// ReportLag is how old a report of a VM may be. A load that no report shows
	// by then has failed once it is due.
	ReportLag time.Duration
	// Avoid is how long a VM is woken last on which a load failed.
	Avoid time.Duration
	// ServiceTime is how long a request is taken to last whose time is not known.
	ServiceTime time.Duration
	// MaxModels bounds the models whose loads are followed.
	MaxModels int
}

// withDefaults returns c with its zero fields set.
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

// validate returns a *ConfigError for the first field that can't be used.
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
