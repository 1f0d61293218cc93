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

// Defaults of Options.
const (
	// DefaultPollInterval is how often configuration and VMs are read. A read is
	// in force within this and one call, well inside the seconds that operators
	// allow; a watch alone would not prove that it still hears changes.
	DefaultPollInterval = time.Second
	// DefaultBelievedFor is how long a read may be old before an unknown route
	// counts as unknown to this process rather than as missing.
	DefaultBelievedFor = 2500 * time.Millisecond
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

	// Listening, if set, is called once with the addresses for callers and for
	// probes, after both are bound.
	Listening func(callers, probes net.Addr)

	PollInterval   time.Duration
	BelievedFor    time.Duration
	BalancerNotice time.Duration
	// Now is the clock; nil takes time.Now.
	Now func() time.Time
}

func (o Options) withDefaults() Options {
	o.PollInterval = cmp.Or(o.PollInterval, DefaultPollInterval)
	o.BelievedFor = cmp.Or(o.BelievedFor, DefaultBelievedFor)
	o.BalancerNotice = cmp.Or(o.BalancerNotice, DefaultBalancerNotice)
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
