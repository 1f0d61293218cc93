package ingress

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// result describes how one attempt ended.
type result struct {
	kind outcome
	// err is the cause of a failure.
	err error
	// responder is the id of the VM that declined the request, or empty if it did not say.
	responder ident.VM
	// response is set for a sealed response that was read but not relayed.
	response *wholeResponse
	// timeToFirstEvent is the time to the first event of a stream or to the header of
	// another response, took the time to its end and longestEventGap the longest pause
	// between events; zero if there was none. For a response of maxWholeBytes or more,
	// timeToFirstEvent equals took.
	timeToFirstEvent, took, longestEventGap time.Duration
	// streamed is the time between the first and the last event.
	streamed time.Duration
}

// withTimes returns r with the times between events of another result.
func (r result) withTimes(other result) result {
	r.timeToFirstEvent, r.longestEventGap, r.streamed = other.timeToFirstEvent, other.longestEventGap, other.streamed
	return r
}

// notRun reports whether the upstream has not run the request.
func (r result) notRun() bool {
	return r.kind == outcomeNotSent || r.kind == outcomeNotRun || r.kind == outcomeOtherVM
}

// outcome classifies the end of an attempt. It is a log value and a metric tag.
type outcome string

// The outcomes.
const (
	// outcomeDelivered means that the whole response was relayed to the caller.
	outcomeDelivered outcome = "delivered"
	// outcomeCallerGone means that the caller has disconnected.
	outcomeCallerGone outcome = "caller_gone"
	// outcomeNotSent means that no connection could be made.
	outcomeNotSent outcome = "not_sent"
	// outcomeNotRun means that the upstream stated that it has not run the request.
	outcomeNotRun outcome = "not_run"
	// outcomeOtherVM means the same, because the address belongs to a different VM or
	// the VM has not loaded the model.
	outcomeOtherVM outcome = "other_vm"
	// outcomeFailedResponse means that a sealed response reports a failure of the
	// upstream.
	outcomeFailedResponse outcome = "failed_answer"
	// outcomeBroken means that the connection or the response failed. The request may
	// have run.
	outcomeBroken outcome = "broken"
	// outcomeTimedOut means that the request's deadline passed. It may have run.
	outcomeTimedOut outcome = "timed_out"
)
