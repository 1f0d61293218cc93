package replica

import (
	"context"
	"sync"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/inflight"
	"github.com/laureltally/laureltally/metastore"
)

// fakeClient is an engine.Client on top of a simEngine, with load times.
type fakeClient struct {
	mu       sync.Mutex
	engine   *simEngine
	loadTime time.Duration
	orders   []engine.Order
	// loseResponses is the number of following orders that take effect although
	// Submit fails.
	loseResponses int
	// rejectWith, if set, is the error with which every load is rejected.
	rejectWith *engine.Problem
}

func newFakeClient() *fakeClient {
	return &fakeClient{loadTime: time.Second, engine: &simEngine{
		models: make(map[ident.Model]*engine.ModelState), fences: make(map[ident.Model]ident.Fence),
	}}
}

func (c *fakeClient) Submit(_ context.Context, o engine.Order) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders = append(c.orders, o)
	if c.rejectWith != nil && o.Kind == engine.OrderLoad {
		return c.rejectWith
	}
	if c.engine.deliver(o) != inflight.ResponseAccepted {
		return &engine.Problem{Code: engine.ProblemBusy}
	}
	time.AfterFunc(c.loadTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.engine.finish(true)
	})
	if c.loseResponses > 0 {
		c.loseResponses--
		return &metastore.UnavailableError{Op: "submit"}
	}
	return nil
}

func (c *fakeClient) State(context.Context) (engine.State, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.engine.state(), nil
}

func (c *fakeClient) Load(context.Context) (engine.LoadReport, error) {
	return engine.LoadReport{}, nil
}

func (c *fakeClient) CacheEvents(context.Context, uint64) (engine.CacheEvents, error) {
	return engine.CacheEvents{}, nil
}

// hasModel reports whether the engine has the model.
func (c *fakeClient) hasModel(m ident.Model) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.engine.models[m] != nil
}

// submitted returns the number of submitted orders of a kind.
func (c *fakeClient) submitted(k engine.OrderKind) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, o := range c.orders {
		if o.Kind == k {
			n++
		}
	}
	return n
}
