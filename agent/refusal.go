package agent

import (
	"context"
	"errors"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/replica"
	"github.com/laureltally/laureltally/wire"
)

// defaultRetryAfter is told to callers when the cause says nothing better.
const defaultRetryAfter = time.Second

// details tells callers the reason for a refusal. The errors themselves name
// addresses inside the system and go into the logs.
var details = map[wire.Code]string{
	wire.CodeNoReplica:    "the VM has no right to load the model",
	wire.CodeOverloaded:   "the VM has no accelerator memory free for the model",
	wire.CodeLoadFailed:   "the model could not be loaded",
	wire.CodeDraining:     "the upstream is leaving",
	wire.CodeDeadline:     "the model was not loaded before the deadline",
	wire.CodeUnknownModel: "the upstream does not know the model",
	wire.CodeCanceled:     "the request was canceled",
	wire.CodeInternal:     "an internal failure",
}

// refusalFor turns an error of package replica into a refusal. All of them mean
// that the request has not run.
func refusalFor(id ident.Attempt, err error) *wire.Refusal {
	code, after := classify(err)
	if after <= 0 {
		after = defaultRetryAfter
	}
	return &wire.Refusal{Attempt: id, Code: code, Run: wire.RunStateNotRun, RetryAfter: after, Detail: details[code]}
}

func classify(err error) (wire.Code, time.Duration) {
	var (
		noRight  *replica.NoSlotError
		noMemory *replica.NoMemoryError
		failed   *replica.LoadFailedError
		draining *replica.DrainingError
		deadline *replica.DeadlineError
		unknown  *replica.UnknownModelError
	)
	switch {
	case errors.As(err, &noRight):
		return wire.CodeNoReplica, noRight.RetryAfter
	case errors.As(err, &noMemory):
		return wire.CodeOverloaded, noMemory.RetryAfter
	case errors.As(err, &failed):
		return wire.CodeLoadFailed, failed.RetryAfter
	case errors.As(err, &draining):
		return wire.CodeDraining, 0
	case errors.As(err, &deadline):
		return wire.CodeDeadline, deadline.RetryAfter
	case errors.As(err, &unknown):
		return wire.CodeUnknownModel, 0
	case errors.Is(err, context.DeadlineExceeded):
		return wire.CodeDeadline, 0
	case errors.Is(err, context.Canceled):
		return wire.CodeCanceled, 0
	default:
		return wire.CodeInternal, 0
	}
}
