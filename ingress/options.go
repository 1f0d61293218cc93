package ingress

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/transport"
)

const (
	// pollShare is the polling interval as a fraction of the time within which a change
	// has to take effect. If a read fails, or hangs for nine tenths of a second where that
	// time is at least two, the next one is still in time.
	pollShare = 0.4
	// freshShare is the fraction of that time for which a read of the configuration
	// proves that a route which it lacks does not exist, rather than being unknown to
	// this process.
	freshShare = 0.8
	// defaultWithin replaces a time that the settings leave out.
	defaultWithin = 3 * time.Second
)

// Defaults of Options.
const (
	// DefaultShutdownDelay is how long a stopping process still accepts connections:
	// the load balancer needs two probes, one second apart, to notice.
	DefaultShutdownDelay = 2300 * time.Millisecond
)

// Options configures a Server.
type Options struct {
	Settings  config.IngressSettings
	Directory fleet.Directory
	// Store keeps what must outlive all processes.
	Store metastore.Store
	// Restores returns how often the store has been restored from an older copy, as far as
	// its responses have shown; nil means never.
	Restores    func() uint64
	Protocol    Protocol
	Credentials transport.Credentials
	Logger      log.Interface
	Metrics     tally.Scope
	// ServerStarted asks the server at an address when it started, in Unix milliseconds. If it is
	// nil, no stream that may be resumed is sent past a silent sidecar.
	ServerStarted func(ctx context.Context, address string) (int64, error)
	// MetricsHandler serves the metrics; it may be nil.
	MetricsHandler http.Handler
	// ReadinessPath is the path that the load balancer probes.
	ReadinessPath string

	// OnListening, if set, is called once with the addresses for callers and for
	// probes, after both are bound.
	OnListening func(callers, probes net.Addr)

	// PollInterval is the interval between reads of the configuration and of the VM
	// list. ConfigFreshFor is how long a read of the configuration proves that a
	// route does not exist. By default both are derived from the settings.
	PollInterval   time.Duration
	ConfigFreshFor time.Duration
	ShutdownDelay  time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Suspended returns how long the machine has been suspended since the process started, which
	// Now does not count; nil means never.
	Suspended func() time.Duration
}

func (o Options) withDefaults() Options {
	configWithin := cmp.Or(time.Duration(o.Settings.MaxConfigDelay), defaultWithin)
	leavingWithin := cmp.Or(time.Duration(o.Settings.MaxLeaveDelay), defaultWithin)
	pollWithin := min(configWithin, leavingWithin)
	if o.Settings.RevokeStrict {
		o.Settings.RevokeWithin = cmp.Or(o.Settings.RevokeWithin, config.Duration(defaultWithin))
		pollWithin = min(pollWithin, time.Duration(o.Settings.RevokeWithin)-revokeMargin)
	}
	o.PollInterval = cmp.Or(o.PollInterval, fraction(pollShare, pollWithin))
	o.ConfigFreshFor = cmp.Or(o.ConfigFreshFor, fraction(freshShare, configWithin))
	o.ShutdownDelay = cmp.Or(o.ShutdownDelay, DefaultShutdownDelay)
	if o.Restores == nil {
		o.Restores = func() uint64 { return 0 }
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Suspended == nil {
		o.Suspended = func() time.Duration { return 0 }
	}
	if o.Logger == nil {
		o.Logger = log.Log
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	return o
}

func fraction(share float64, total time.Duration) time.Duration {
	return time.Duration(share * float64(total))
}
