package replica

import "context"

// gatePlace is a place at the weight store, or the wait for one.
type gatePlace struct {
	cancel  context.CancelFunc
	release func()
}
