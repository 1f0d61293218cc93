package replica

import "context"

// heldPermit is a load permit or a pending request for one.
type heldPermit struct {
	cancel  context.CancelFunc
	release func()
}
