package placement

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Defaults of Options.
const (
	// DefaultReportTimeout is the age from which a report is ignored; agents report
	// several times a second.
	DefaultReportTimeout = 2 * time.Second
	// DefaultLinkDelay is the assumed one-way latency between regions until
	// connections to agents there show it.
	DefaultLinkDelay = 30 * time.Millisecond
	// DefaultRegistrationInterval is the interval at which VMs renew their entries in
	// the VM list.
	DefaultRegistrationInterval = time.Second
	// DefaultLoadCost is the additional cost of a full VM over an idle one when a
	// model has to be loaded: about the time by which a full batch delays a request.
	DefaultLoadCost = 2 * time.Second
	// DefaultRetryAfter is the retry delay when no VM is available.
	DefaultRetryAfter = time.Second
)

// Options configures a Balancer.
type Options struct {
	Region ident.Region
	Zone   ident.Zone

	ReportTimeout time.Duration
	LinkDelay     time.Duration
	// RegistrationInterval is the interval at which VMs renew their entries in the VM
	// list.
	RegistrationInterval time.Duration
	LoadCost             time.Duration
	RetryAfter           time.Duration
	// AgentPort is the UDP port of agents, at the address of their VM.
	AgentPort uint16
	// Rand breaks ties.
	Rand *rand.Rand
}

func (o Options) withDefaults() Options {
	o.ReportTimeout = cmp.Or(o.ReportTimeout, DefaultReportTimeout)
	o.LinkDelay = cmp.Or(o.LinkDelay, DefaultLinkDelay)
	o.RegistrationInterval = cmp.Or(o.RegistrationInterval, DefaultRegistrationInterval)
	o.LoadCost = cmp.Or(o.LoadCost, DefaultLoadCost)
	o.RetryAfter = cmp.Or(o.RetryAfter, DefaultRetryAfter)
	return o
}
