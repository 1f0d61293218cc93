package ingress

import "time"

// result is how one attempt ended.
type result struct {
	kind resultKind
	// err is the cause of a failure.
	err error
	// answer is set for a sealed answer that was read but not delivered.
	answer *wholeAnswer
	// firstEvent is the time to the first byte of the answer, and took that to its
	// end; zero if there was none.
	firstEvent, took, worstGap time.Duration
}

// resultKind tells the ends of an attempt apart.
type resultKind string

// The ends of an attempt.
const (
	// delivered answers have reached the caller whole.
	delivered resultKind = "delivered"
	// callerGone means that the caller has left.
	callerGone resultKind = "caller_gone"
	// notSent means that no connection could be made.
	notSent resultKind = "not_sent"
	// notRun means that the upstream says that it has not run the request.
	notRun resultKind = "not_run"
	// otherVM means the same, because the address belongs to another VM.
	otherVM resultKind = "other_vm"
	// failedAnswer is a sealed answer that reports a failure of the upstream.
	failedAnswer resultKind = "failed_answer"
	// broken means that the connection or the answer failed. The request may have
	// run.
	broken resultKind = "broken"
	// timedOut means that the request's time was over. It may have run.
	timedOut resultKind = "timed_out"
)
