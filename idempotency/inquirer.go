package idempotency

import (
	"context"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// Inquirer queries an agent for the state of an attempt.
type Inquirer interface {
	// Inquire returns the state as reported by the agent. wire.AttemptNotRun
	// must be the agent's own response to a wire.AttemptStatusRequest; if the
	// agent cannot be reached, Inquire fails.
	Inquire(ctx context.Context, target Target, attempt ident.Attempt) (wire.AttemptState, error)
}
