package sidecar

import (
	"cmp"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/transport"
)

// Defaults of Options.
const (
	// DefaultIdleRead is the interval of reads of the engine while no order is in
	// flight, DefaultBusyRead the minimum interval when an order is about to end.
	DefaultIdleRead = 150 * time.Millisecond
	DefaultBusyRead = 40 * time.Millisecond
	// DefaultReportInterval is the minimum time between two reports to a router and
	// DefaultHeartbeat the maximum. With many routers both are longer; see
	// reportIntervals.
	DefaultReportInterval = 100 * time.Millisecond
	DefaultHeartbeat      = 250 * time.Millisecond
	// DefaultConfigInterval is the interval of reads of the configuration. Models and
	// their sizes rarely change.
	DefaultConfigInterval = 10 * time.Second
)

// Options configures a Sidecar.
type Options struct {
	Settings    config.SidecarSettings
	Engine      Engine
	Store       metastore.Store
	Directory   fleet.Directory
	Credentials transport.Credentials
	Logger      log.Interface
	Metrics     tally.Scope
	// MetricsHandler serves the metrics. It may be nil.
	MetricsHandler http.Handler

	IdleRead, BusyRead        time.Duration
	ReportInterval, Heartbeat time.Duration
	ConfigInterval            time.Duration
	// Restores returns how often the store has been restored from an older copy, as far
	// as its responses have shown. Nil means never.
	Restores func() uint64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

func (o Options) withDefaults() Options {
	o.IdleRead = cmp.Or(o.IdleRead, DefaultIdleRead)
	o.BusyRead = cmp.Or(o.BusyRead, DefaultBusyRead)
	o.ReportInterval = cmp.Or(o.ReportInterval, DefaultReportInterval)
	o.Heartbeat = cmp.Or(o.Heartbeat, DefaultHeartbeat)
	o.ConfigInterval = cmp.Or(o.ConfigInterval, DefaultConfigInterval)
	if o.Restores == nil {
		o.Restores = func() uint64 { return 0 }
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logger == nil {
		o.Logger = log.Log
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	return o
}
