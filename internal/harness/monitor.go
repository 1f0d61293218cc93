package harness

import (
	"context"
	"sync"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Monitor samples the state that the engines report and compares the number of
// replicas with the limits of the document that the cluster starts with.
type Monitor struct {
	c      *Cluster
	limits map[ident.Model]int
	stop   context.CancelFunc
	wg     sync.WaitGroup

	mu        sync.Mutex
	maxExcess int
	samples   int
}

// StartMonitor starts sampling.
func (c *Cluster) StartMonitor() *Monitor {
	ctx, stop := context.WithCancel(context.Background())
	m := &Monitor{c: c, limits: make(map[ident.Model]int), stop: stop}
	for _, spec := range Document(c.o.Engines).Models {
		m.limits[spec.Name] = spec.MaxReplicas
	}
	m.wg.Go(func() { m.run(ctx) })
	return m
}

// Stop ends the sampling. It returns the largest number of replicas of a model
// over its limit that a sample showed, and the number of loads that did not fit
// into memory.
func (m *Monitor) Stop(ctx context.Context) (maxExcess int, overcommits int64) {
	m.stop()
	m.wg.Wait()
	for i := range m.c.EngineURLs {
		if counters, err := m.c.EngineCounters(ctx, i); err == nil {
			overcommits += counters.Overcommits
		}
	}
	return m.maxExcess, overcommits
}

// Samples returns the number of samples.
func (m *Monitor) Samples() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.samples
}

func (m *Monitor) run(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			m.sample(ctx)
		}
	}
}

func (m *Monitor) sample(ctx context.Context) {
	loaded := make(map[ident.Model]int)
	for i := range m.c.EngineURLs {
		st, err := m.c.EngineState(ctx, i)
		if err != nil {
			continue
		}
		for _, model := range st.Models {
			loaded[model.Model]++
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.samples++
	for model, n := range loaded {
		m.maxExcess = max(m.maxExcess, n-m.limits[model])
	}
}
