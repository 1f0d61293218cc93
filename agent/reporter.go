package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/internal/wait"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

// defaultReportInterval is how often the agent checks for changes to report.
const defaultReportInterval = 500 * time.Millisecond

// heartbeatReports is the number of intervals without a change after which a
// report is sent anyway.
const heartbeatReports = 10

// reporter creates the agent's reports and sends them to subscribed routers.
type reporter struct {
	a           *Agent
	trigger     chan struct{}
	tierHistory tierHistory

	mu        sync.Mutex
	latest    *wire.Report
	unchanged int
	changed   chan struct{}
}

func newReporter(a *Agent) *reporter {
	return &reporter{a: a, tierHistory: make(tierHistory), trigger: make(chan struct{}, 1), changed: make(chan struct{})}
}

// now triggers an immediate report, for example because the agent is
// draining.
func (r *reporter) now() {
	wait.Notify(r.trigger)
}

// run creates reports until ctx ends.
func (r *reporter) run(ctx context.Context) {
	interval := time.Duration(r.a.o.Settings.ReportInterval)
	if interval <= 0 {
		interval = defaultReportInterval
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		r.update()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-r.trigger:
		}
	}
}

// update creates a report and publishes it if something changed or a heartbeat
// is due.
func (r *reporter) update() {
	next := r.a.report()
	for i := range next.Models {
		r.tierHistory.annotate(r.a.o.Now(), &next.Models[i])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.latest != nil && sameReport(r.latest, next) && r.unchanged < heartbeatReports {
		r.unchanged++
		return
	}
	r.unchanged = 0
	if r.latest != nil {
		next.Seq = r.latest.Seq
	}
	next.Seq++
	r.latest = next
	close(r.changed)
	r.changed = make(chan struct{})
}

// sendReports sends the latest report and each later one until the stream ends.
func (r *reporter) sendReports(ctx context.Context, s *transport.Stream) {
	var sent uint64
	for {
		r.mu.Lock()
		latest, changed := r.latest, r.changed
		r.mu.Unlock()
		if latest != nil && latest.Seq > sent {
			if err := s.Send(latest); err != nil {
				return
			}
			sent = latest.Seq
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		case <-s.Context().Done():
			return
		}
	}
}

// report returns the agent's current report, without a Seq.
func (a *Agent) report() *wire.Report {
	s := a.o.Settings
	r := &wire.Report{
		VM:          s.VM,
		Incarnation: a.o.Incarnation,
		Role:        metastore.RoleAgent,
		Region:      s.Region,
		Zone:        s.Zone,
		Upstream:    s.Upstream,
		Address:     s.PeerListen,
		Draining:    a.draining.Load(),
		Concurrency: s.Concurrency,
	}
	if c := a.catalog.Load(); c != nil {
		r.Configs = map[ident.Environment]metastore.Version{s.Environment: c.Version()}
	}
	if a.replicas != nil {
		r.Models = a.replicas.Models()
		r.FreeMB = a.replicas.FreeMB()
	}
	a.addQueues(r)
	return r
}

// addQueues adds the running and waiting requests, the longest mean run time,
// and the concurrency limit of a plain service.
func (a *Agent) addQueues(r *wire.Report) {
	a.mu.Lock()
	modelQueues := make([]*modelQueue, 0, len(a.modelQueues))
	for _, mq := range a.modelQueues {
		modelQueues = append(modelQueues, mq)
	}
	a.mu.Unlock()
	for _, mq := range modelQueues {
		stats := mq.stats()
		r.Running += stats.Running
		r.RunTime = max(r.RunTime, stats.RunTime)
		r.Waiting += stats.Waiting
		r.WaitingByPriority = addCounts(r.WaitingByPriority, mq.waitingByPriority())
		if mq.model == "" {
			r.Concurrency = stats.Limit
			continue
		}
		i := slices.IndexFunc(r.Models, func(m wire.ModelReport) bool { return m.Model == mq.model })
		if i >= 0 {
			r.Models[i].Running = stats.Running
			r.Models[i].Waiting = stats.Waiting
		}
	}
}

// addCounts adds b to a, element by element.
func addCounts(a, b []int) []int {
	for i, n := range b {
		if i == len(a) {
			a = append(a, 0)
		}
		a[i] += n
	}
	return a
}

// sameReport reports whether two reports of the agent are equal except for Seq
// and RunTime.
func sameReport(a, b *wire.Report) bool {
	if a.Draining != b.Draining || a.FreeMB != b.FreeMB || a.Running != b.Running || a.Waiting != b.Waiting || a.Concurrency != b.Concurrency {
		return false
	}
	return slices.Equal(a.WaitingByPriority, b.WaitingByPriority) && sameConfigs(a, b) && slices.EqualFunc(a.Models, b.Models, sameModel)
}

func sameConfigs(a, b *wire.Report) bool {
	if len(a.Configs) != len(b.Configs) {
		return false
	}
	for env, v := range a.Configs {
		if b.Configs[env] != v {
			return false
		}
	}
	return true
}

func sameModel(a, b wire.ModelReport) bool {
	return a.Model == b.Model && a.Phase == b.Phase && a.Tier == b.Tier && a.Fence == b.Fence &&
		a.Running == b.Running && a.Waiting == b.Waiting && slices.Equal(a.Adapters, b.Adapters)
}
