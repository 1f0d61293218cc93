package ingress

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/placement"
	"github.com/laureltally/laureltally/requestlimit"
	"github.com/laureltally/laureltally/retry"
	"github.com/laureltally/laureltally/serving"
	"github.com/laureltally/laureltally/wire"
)

const (
	// reportTimeout is the age of the last report from which a sidecar is considered
	// silent, if it doesn't announce its next report.
	reportTimeout = 700 * time.Millisecond
	// budgetShare is the fraction of the retry budget that is used, so that
	// differences in counting between routers never exceed the whole budget.
	budgetShare = 0.7
	// outagePolls is the number of polling intervals without a list that make an outage.
	outagePolls = 1.25
	// refillShare is the fraction of the fixed part of the budget that is refilled
	// within its window while no requests succeed; the rest of it is saved.
	refillShare = 0.2
)

// clusterState is the server's state of VMs and services, guarded by one mutex.
type clusterState struct {
	mu      sync.Mutex
	tracker *fleet.Tracker
	// listApplied is closed and replaced when a list was applied.
	listApplied chan struct{}
	balancer    *placement.Balancer
	budgets     map[ident.Upstream]*retry.Budget
	opts        retry.BudgetOptions
	// retrySlack is the fixed part of the budget within retryWindow, over all routers.
	retrySlack  float64
	retryWindow time.Duration
	// slownessStatedAt is when a server of each service last stated its slowness.
	slownessStatedAt map[ident.Upstream]time.Time
}

// newClusterState returns the state of a router that reads the list of VMs every
// pollInterval.
func newClusterState(s config.IngressSettings, pollInterval time.Duration) (*clusterState, error) {
	balancer, err := placement.New(placement.Options{
		Region: s.Region, Zone: s.Zone, ReportTimeout: reportTimeout,
		RegistrationInterval: time.Duration(s.RegistrationInterval),
		AgentPort:            uint16(s.SidecarPort), Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	if err != nil {
		return nil, fmt.Errorf("balancer: %w", err)
	}
	return &clusterState{
		tracker:          fleet.NewTracker(fleet.Options{OutageAfter: outageAfter(pollInterval)}),
		listApplied:      make(chan struct{}),
		balancer:         balancer,
		budgets:          make(map[ident.Upstream]*retry.Budget),
		slownessStatedAt: make(map[ident.Upstream]time.Time),
		opts: retry.BudgetOptions{
			Share:    max(0.01, s.RetryShare*budgetShare),
			MaxSaved: 1,
		},
		retrySlack: s.RetrySlack, retryWindow: time.Duration(s.RetryWindow),
	}, nil
}

// outageAfter returns the time without a list from which registrations may have expired.
// It must be longer than the normal time between two lists: while it is exceeded, VMs that
// are missing from the list are kept.
func outageAfter(pollInterval time.Duration) time.Duration {
	return max(fleet.DefaultOutageAfter, fraction(outagePolls, pollInterval))
}

// applyVMs applies a list of the VMs.
func (c *clusterState) applyVMs(begun, now time.Time, l fleet.Listing) ([]fleet.Change, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changes := c.tracker.Update(begun, l)
	close(c.listApplied)
	c.listApplied = make(chan struct{})
	return changes, c.balancer.Apply(now, changes)
}

// listedAt returns when the newest VM list was requested.
func (c *clusterState) listedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.ListedAt()
}

// absentVMs returns how many VMs are kept although the newest list lacks them, and until when
// the first of them is, or the zero time if there are none.
func (c *clusterState) absentVMs() (n int, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Absent(), c.tracker.NextRemoval()
}

func (c *clusterState) setServices(services map[ident.Upstream]*serving.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.Configure(services)
}

func (c *clusterState) choose(now time.Time, n placement.Requirements) (placement.Choice, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.balancer.Choose(now, n)
}

// report takes a sidecar's report, received over a connection with the given round-trip
// time.
func (c *clusterState) report(now time.Time, address string, r *wire.Report, roundTrip time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.ObserveRoundTrip(address, roundTrip)
	return c.balancer.Report(now, address, r)
}

// observeLoad takes the load that a sidecar stated in a reply.
func (c *clusterState) observeLoad(now time.Time, address string, l *wire.EngineLoad) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.ObserveLoad(now, address, l)
}

func (c *clusterState) sidecarLost(now time.Time, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.AgentLost(now, address)
}

func (c *clusterState) requestStarted(now time.Time, vm ident.VM, n placement.Requirements) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.RequestStarted(now, vm, n.Priority)
}

func (c *clusterState) requestEnded(now time.Time, vm ident.VM, n placement.Requirements, took time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.RequestEnded(now, vm, n, took, ok)
	if took > 0 {
		c.budget(n.Service).Success(now)
	}
}

// misdirected records that an address belongs to a different VM or, if a model is
// given, that the VM has not loaded it.
func (c *clusterState) misdirected(now time.Time, vm ident.VM, model ident.Model) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if model == "" {
		c.balancer.Block(now, vm)
		return
	}
	c.balancer.ModelMissing(now, vm, model)
}

// takeRetry takes one retry from the budget and reports whether one was left.
func (c *clusterState) takeRetry(now time.Time, service ident.Upstream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.budget(service)
	if routers := c.balancer.Routers(now); routers > 0 {
		b.SetRefill(now, c.retriesSaved(routers), c.retriesPerSecond(routers))
	}
	return b.Take(now)
}

// retriesSaved and retriesPerSecond divide the fixed part of the retry budget among the
// routers. Every router may find all of its share unused when an upstream fails, so
// their number decides how much each may save.
func (c *clusterState) retriesSaved(routers int) float64 {
	return max(1, c.retrySlack*budgetShare/float64(routers))
}

func (c *clusterState) retriesPerSecond(routers int) float64 {
	return c.retrySlack * refillShare / float64(routers) / c.retryWindow.Seconds()
}

func (c *clusterState) budget(service ident.Upstream) *retry.Budget {
	budget := c.budgets[service]
	if budget == nil {
		var err error
		budget, err = retry.NewBudget(c.opts)
		if err != nil {
			// The options were validated with the settings.
			panic(err)
		}
		c.budgets[service] = budget
	}
	return budget
}

// engines returns the VMs whose service has a model engine, by address. Of several VMs at
// one address it is the one in use.
func (c *clusterState) engines(services map[ident.Upstream]*serving.Service) map[string]*fleet.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]*fleet.VM)
	for id, vm := range c.tracker.VMs() {
		if s := services[vm.Service]; s != nil && s.Engine != nil && c.balancer.InUse(id) {
			out[vm.Address] = vm
		}
	}
	return out
}

// sidecarAddress returns the address on which the sidecar of a VM listens.
func (c *clusterState) sidecarAddress(vm *fleet.VM) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.balancer.AgentAddress(vm)
}

// expectLoad records that a VM is about to load a model from the weight store and
// returns the model. If model is empty, it is the one with the highest load value. Vm
// is the id under which sidecars identify themselves: the address of their engine. The
// load is expected until endExpectedLoad is called with the returned id.
func (c *clusterState) expectLoad(now time.Time, service ident.Upstream, vm ident.VM, model ident.Model) (ident.Model, placement.ExpectedLoadID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if model == "" {
		model, _ = c.balancer.NextRemoteLoad(now, service, string(vm))
	}
	if model == "" {
		return "", 0
	}
	return model, c.balancer.ExpectLoad(model, string(vm))
}

func (c *clusterState) endExpectedLoad(id placement.ExpectedLoadID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.EndExpectedLoad(id)
}

// remoteLoadValue returns the value, in requests per second, of a load for which a VM
// requests a permit. Model and vm are as for expectLoad.
func (c *clusterState) remoteLoadValue(now time.Time, service ident.Upstream, vm ident.VM, model ident.Model) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if model != "" {
		return c.balancer.RemoteLoadValue(now, service, model)
	}
	_, value := c.balancer.NextRemoteLoad(now, service, string(vm))
	return value
}

// reservedVM returns the VM at which a sidecar made a reservation, given the id that
// the sidecar reported. It handles engines that restart while requests wait: for some
// seconds the list has both the old id and the new one at the same address. It
// returns nil if the list does not contain the new one yet. Where both the sidecar and the
// list state when the server started, the times must be the same: the server's software
// version is known only then. Zero means that it is not stated or not to be compared. A VM with
// another id may have a software version that the request does not allow.
func (c *clusterState) reservedVM(chosen *fleet.VM, id ident.VM, started int64, n *placement.Requirements) *fleet.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	vm := chosen
	if id != "" && id != chosen.ID {
		vm = c.tracker.VMs()[id]
		if vm == nil || vm.Address != chosen.Address || vm.Service != chosen.Service || !n.AllowsSoftware(vm.Software) {
			return nil
		}
	}
	if started != 0 && vm.Started != 0 && started != vm.Started {
		return nil
	}
	return vm
}

// observeResponse takes what a server says of itself in a response, and reports whether
// it is news that the server is leaving.
func (c *clusterState) observeResponse(now time.Time, vm *fleet.VM, r *serving.ResponseInfo) (leaving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Load.Slowness > 0 {
		c.slownessStatedAt[vm.Service] = now
	}
	if r.HasLoad {
		c.balancer.ReportLoad(now, vm.ID, r.Load)
	}
	if r.Pause > 0 {
		c.balancer.PauseServer(now, vm, r.Pause)
	}
	return r.Leaving && c.balancer.ServerLeaving(now, vm)
}

// malformedSlowness records that a server has stated a slowness that can't be read, and
// reports whether it is the first one.
func (c *clusterState) malformedSlowness(vm *fleet.VM) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.balancer.MalformedSlowness(vm)
}

// requestLimitNamed takes the limit that a server named in its response to a request sent
// at a time, and returns what other routers have to know.
func (c *clusterState) requestLimitNamed(now, sentAt time.Time, vm *fleet.VM, l serving.RequestLimit) (requestlimit.Statement, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.balancer.RequestLimitNamed(now, sentAt, vm, l)
}

// takeRequestLimits takes what other routers have learned.
func (c *clusterState) takeRequestLimits(now time.Time, all []requestlimit.Statement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range all {
		c.balancer.TakeRequestLimit(now, s)
	}
}

// requestLimits returns the limits in force.
func (c *clusterState) requestLimits(now time.Time) []requestlimit.Statement {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.balancer.RequestLimits(now)
}

// slownessStatedTTL is how long after a statement the servers of a service are assumed to
// run on shared machines.
const slownessStatedTTL = 30 * time.Second

// onSharedMachines reports whether servers of a service state how slow their machines are.
func (c *clusterState) onSharedMachines(now time.Time, service ident.Upstream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.slownessStatedAt[service]
	return ok && now.Sub(at) < slownessStatedTTL
}

// takeBypass reports whether a request may be sent to a VM whose sidecar has not replied.
func (c *clusterState) takeBypass(now time.Time, vm ident.VM) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.balancer.TakeBypass(now, vm)
}

// bypassStarted counts a request that is sent past a silent sidecar.
func (c *clusterState) bypassStarted(vm ident.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.BypassStarted(vm)
}

// bypassAnswered records that such a request gets its answer, or has ended without one.
func (c *clusterState) bypassAnswered(now time.Time, vm ident.VM, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.BypassAnswered(now, vm, answered)
}

// hasSoftware reports whether a VM of a service with a software version is registered.
func (c *clusterState) hasSoftware(service ident.Upstream, software string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.balancer.HasSoftware(service, software)
}

// staying reports whether a VM is listed and has not announced that it stops.
func (c *clusterState) staying(vm *fleet.VM) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.balancer.Staying(vm)
}

// drains reports whether a VM is listed as leaving and is given the time to complete its
// responses.
func (c *clusterState) drains(now time.Time, vm *fleet.VM) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Drains(now, vm)
}

// listedSince reports whether a listing began after a time, and if so, whether the newest one has
// the same start of a VM at the same software version. Next is closed when another one was
// applied.
func (c *clusterState) listedSince(at time.Time, vm *fleet.VM) (listed, same bool, next <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed, same = c.tracker.ListedSince(at, vm)
	return listed, same, c.listApplied
}

// usable reports whether a VM chosen earlier still accepts new requests.
func (c *clusterState) usable(now time.Time, vm *fleet.VM) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.balancer.Usable(now, vm)
}
