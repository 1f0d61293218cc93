package placement

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Defaults of Options.
const (
	// DefaultReportTimeout is the age from which a report counts for nothing;
	// agents report several times a second.
	DefaultReportTimeout = 2 * time.Second
	// DefaultLinkDelay is the time one way between regions.
	DefaultLinkDelay = 30 * time.Millisecond
	// DefaultLoadCost is what a full VM costs beyond an idle one when a model has to
	// be loaded: about the time by which a full batch slows a request.
	DefaultLoadCost = 2 * time.Second
	// DefaultRetryAfter is what a caller is told when nothing is known.
	DefaultRetryAfter = time.Second
)

// Options configures a Board.
type Options struct {
	Region ident.Region
	Zone   ident.Zone

	ReportTimeout time.Duration
	LinkDelay     time.Duration
	LoadCost      time.Duration
	RetryAfter    time.Duration
	// AgentPort is the UDP port of agents, on the VM's own address.
	AgentPort uint16
	// Rand breaks ties.
	Rand *rand.Rand
}

func (o Options) withDefaults() Options {
	o.ReportTimeout = cmp.Or(o.ReportTimeout, DefaultReportTimeout)
	o.LinkDelay = cmp.Or(o.LinkDelay, DefaultLinkDelay)
	o.LoadCost = cmp.Or(o.LoadCost, DefaultLoadCost)
	o.RetryAfter = cmp.Or(o.RetryAfter, DefaultRetryAfter)
	return o
}
