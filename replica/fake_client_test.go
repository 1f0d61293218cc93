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

// fakeClient is an engine.Client over a simEngine with load times.
type fakeClient struct {
	mu     sync.Mutex
	engine *simEngine
	takes  time.Duration
	orders []engine.Order
	// loseAnswers is how many of the next orders take effect and yet fail.
	loseAnswers int
	// refuse, if set, is what every load is refused with.
	refuse *engine.Problem
}

func newFakeClient() *fakeClient {
	return &fakeClient{takes: time.Second, engine: &simEngine{
		models: make(map[ident.Model]*engine.ModelState), fences: make(map[ident.Model]ident.Fence),
	}}
}

func (c *fakeClient) Submit(_ context.Context, o engine.Order) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders = append(c.orders, o)
	if c.refuse != nil && o.Kind == engine.OrderLoad {
		return c.refuse
	}
	if c.engine.deliver(o) != inflight.ResponseAccepted {
		return &engine.Problem{Code: engine.ProblemBusy}
	}
	time.AfterFunc(c.takes, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.engine.finish(true)
	})
	if c.loseAnswers > 0 {
		c.loseAnswers--
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

// has tells whether the engine has the model.
func (c *fakeClient) has(m ident.Model) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.engine.models[m] != nil
}

// submitted counts the orders of a kind.
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
