package agent

import (
	"context"
	"errors"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/replica"
	"github.com/laureltally/laureltally/wire"
)

// defaultRetryAfter is sent to callers if the error has no better value.
const defaultRetryAfter = time.Second

// details holds the reasons sent to callers. The errors themselves contain
// internal addresses and are only logged.
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

// refusalFromError converts an error of package replica to a refusal. All of
// them mean that the request has not run.
func refusalFromError(id ident.Attempt, err error) *wire.Refusal {
	code, after := classify(err)
	if after <= 0 {
		after = defaultRetryAfter
	}
	return &wire.Refusal{Attempt: id, Code: code, Run: wire.RunStateNotRun, RetryAfter: after, Detail: details[code]}
}

func classify(err error) (wire.Code, time.Duration) {
	var (
		noSlot   *replica.NoSlotError
		noMemory *replica.NoMemoryError
		failed   *replica.LoadFailedError
		draining *replica.DrainingError
		deadline *replica.DeadlineError
		unknown  *replica.UnknownModelError
	)
	switch {
	case errors.As(err, &noSlot):
		return wire.CodeNoReplica, noSlot.RetryAfter
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
