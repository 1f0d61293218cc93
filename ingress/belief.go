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
	"github.com/laureltally/laureltally/retry"
	"github.com/laureltally/laureltally/serving"
	"github.com/laureltally/laureltally/wire"
)

const (
	// reportTimeout is the age from which a sidecar counts as silent that does not
	// say when it reports next.
	reportTimeout = 700 * time.Millisecond
	// budgetShare is the part of the retry budget that is used, so that counting
	// differences between routers never exceed the whole.
	budgetShare = 0.7
	// slackRouters divides the fixed part of the budget among routers.
	slackRouters = 8
	// budgetFloor lets a rarely used service retry at all.
	budgetFloor = 0.1
)

// belief is what the server knows of the installation, behind one lock.
type belief struct {
	mu      sync.Mutex
	roster  *fleet.Tracker
	board   *placement.Balancer
	budgets map[ident.Upstream]*retry.Budget
	opts    retry.BudgetOptions
}

func newBelief(s config.IngressSettings) (*belief, error) {
	board, err := placement.New(placement.Options{
		Region: s.Region, Zone: s.Zone, ReportTimeout: reportTimeout,
		AgentPort: uint16(s.SidecarPort), Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	if err != nil {
		return nil, fmt.Errorf("board: %w", err)
	}
	return &belief{
		roster:  fleet.NewTracker(fleet.Options{}),
		board:   board,
		budgets: make(map[ident.Upstream]*retry.Budget),
		opts: retry.BudgetOptions{
			Share:          max(0.01, s.RetryShare*budgetShare),
			MaxSaved:       max(1, s.RetrySlack*budgetShare/slackRouters),
			FloorPerSecond: budgetFloor,
		},
	}, nil
}

// listed takes a listing of the VMs.
func (b *belief) listed(begun, now time.Time, vms []fleet.VM) ([]fleet.Change, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changes := b.roster.Update(begun, vms)
	return changes, b.board.Apply(now, changes)
}

// listedAt is when the newest listing was asked for.
func (b *belief) listedAt() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.roster.ListedAt()
}

func (b *belief) configured(services map[ident.Upstream]*serving.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.board.Configure(services)
}

func (b *belief) choose(now time.Time, n placement.Requirements) (placement.Choice, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.board.Choose(now, n)
}

func (b *belief) report(now time.Time, address string, r *wire.Report) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.board.Report(now, address, r)
}

func (b *belief) sidecarLost(now time.Time, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.board.AgentDisconnected(now, address)
}

func (b *belief) started(now time.Time, vm ident.VM, n placement.Requirements) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.board.RequestStarted(now, vm, n.Priority)
}

func (b *belief) ended(now time.Time, vm ident.VM, n placement.Requirements, took time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.board.RequestEnded(now, vm, n, took, ok)
	if took > 0 {
		b.budget(n.Service).Success(now)
	}
}

func (b *belief) load(now time.Time, vm ident.VM, l serving.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.board.ReportLoad(now, vm, l)
}

// notThere notes that a VM is another one or lacks a model, if one is given.
func (b *belief) notThere(now time.Time, vm ident.VM, model ident.Model) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if model == "" {
		b.board.Block(now, vm)
		return
	}
	b.board.ModelMissing(now, vm, model)
}

// takeRetry spends one second attempt, if there is one left.
func (b *belief) takeRetry(now time.Time, service ident.Upstream) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service).Take(now)
}

func (b *belief) budget(service ident.Upstream) *retry.Budget {
	budget := b.budgets[service]
	if budget == nil {
		var err error
		budget, err = retry.NewBudget(b.opts)
		if err != nil {
			// The options were checked with the settings.
			panic(err)
		}
		b.budgets[service] = budget
	}
	return budget
}

// engines returns the VMs whose service has a model engine.
func (b *belief) engines(services map[ident.Upstream]*serving.Service) map[ident.VM]*fleet.VM {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[ident.VM]*fleet.VM)
	for id, vm := range b.roster.VMs() {
		if s := services[vm.Service]; s != nil && s.Engine != nil {
			out[id] = vm
		}
	}
	return out
}

// agentAddress is where the sidecar of a VM listens.
func (b *belief) agentAddress(vm *fleet.VM) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.board.AgentAddress(vm)
}

// fetch notes that a VM is about to load a model from the weight store. An empty
// model stands for the one that is most worth it.
func (b *belief) fetch(now time.Time, service ident.Upstream, vm ident.VM, model ident.Model) ident.Model {
	b.mu.Lock()
	defer b.mu.Unlock()
	if model == "" {
		model, _ = b.board.NextRemoteLoad(now, service, string(vm))
	}
	if model != "" {
		b.board.ExpectLoad(now, model)
	}
	return model
}

// fetchWorth is how much a load is worth that a VM asks a place for, in requests
// a second.
func (b *belief) fetchWorth(now time.Time, service ident.Upstream, vm ident.VM, model ident.Model) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if model != "" {
		return b.board.RemoteLoadValue(now, service, model)
	}
	_, worth := b.board.NextRemoteLoad(now, service, string(vm))
	return worth
}

// vmOfPlace is the VM whose place a sidecar has given, of which it names the id. It
// answers engines that start anew while requests wait: for some seconds the list has
// the old id and the new one at the same address. It is nil if the list does not
// have the new one yet.
func (b *belief) vmOfPlace(chosen *fleet.VM, id ident.VM) *fleet.VM {
	if id == "" || id == chosen.ID {
		return chosen
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if vm := b.roster.VMs()[id]; vm != nil && vm.Address == chosen.Address && vm.Service == chosen.Service {
		return vm
	}
	return nil
}

// usable tells whether a VM that was chosen earlier still takes new requests.
func (b *belief) usable(now time.Time, vm *fleet.VM) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.board.Usable(now, vm)
}
