package idempotency

import (
	"context"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// Inquirer asks an agent what became of an attempt.
type Inquirer interface {
	// Inquire returns the agent's word. wire.AttemptNotRun must be the agent's
	// own answer to a wire.Inquire; an agent that cannot be reached is an error.
	Inquire(ctx context.Context, target Target, attempt ident.Attempt) (wire.AttemptState, error)
}
