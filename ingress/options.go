package ingress

import (
	"cmp"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/transport"
)

const (
	// pollShare is the part of the time in which a change has to be in force after
	// which it is read: a read may fail, and the next one is still in time.
	pollShare = 0.4
	// believedShare is the part of that time for which a read proves that a route
	// which it lacks is missing, rather than unknown to this process.
	believedShare = 0.8
	// defaultWithin stands for a time that the settings leave out.
	defaultWithin = 3 * time.Second
)

// Defaults of Options.
const (
	// DefaultBalancerNotice is how long a stopping process still takes
	// connections: the balancer needs two probes, a second apart, to notice.
	DefaultBalancerNotice = 2300 * time.Millisecond
)

// Options configures a Server.
type Options struct {
	Settings    config.IngressSettings
	Directory   fleet.Directory
	Protocol    Protocol
	Credentials transport.Credentials
	Logger      log.Interface
	Metrics     tally.Scope
	// MetricsHandler serves the metrics, and may be nil.
	MetricsHandler http.Handler
	// ReadinessPath is the path that the balancer probes.
	ReadinessPath string

	// OnListening, if set, is called once with the addresses for callers and for
	// probes, after both are bound.
	OnListening func(callers, probes net.Addr)

	// PollInterval is how often configuration and VMs are read, and BelievedFor how
	// long a read of the configuration proves that a route is missing. By default
	// both follow from the settings.
	PollInterval  time.Duration
	BelievedFor   time.Duration
	ShutdownDelay time.Duration
	// Now is the clock; nil takes time.Now.
	Now func() time.Time
}

func (o Options) withDefaults() Options {
	configWithin := cmp.Or(time.Duration(o.Settings.ConfigWithin), defaultWithin)
	leavingWithin := cmp.Or(time.Duration(o.Settings.LeavingWithin), defaultWithin)
	o.PollInterval = cmp.Or(o.PollInterval, part(pollShare, min(configWithin, leavingWithin)))
	o.BelievedFor = cmp.Or(o.BelievedFor, part(believedShare, configWithin))
	o.ShutdownDelay = cmp.Or(o.ShutdownDelay, DefaultBalancerNotice)
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

func part(share float64, of time.Duration) time.Duration { return time.Duration(share * float64(of)) }
