package ingress

// step is what follows an attempt that did not deliver a response. It is a log value.
type step string

// The steps.
const (
	// stepRetry sends the request to another VM.
	stepRetry step = "again"
	// stepPassOn relays the upstream's own error response to the caller.
	stepPassOn step = "pass_on"
	// stepRefuse responds that the request has not run and when to retry.
	stepRefuse step = "refuse"
	// stepFail responds that the request failed; it may have run.
	stepFail step = "give_up"
	// stepAbort breaks off a response that has begun.
	stepAbort step = "cut"
	// stepNone sends nothing, since the caller has disconnected.
	stepNone step = "stop"
)

// attemptState is the input to the choice of the next step.
type attemptState struct {
	kind outcome
	// retryable requests may run more than once.
	retryable bool
	// mayHaveRun is set when this or an earlier attempt may have run.
	mayHaveRun bool
	// begun is set when part of the response has reached the caller, and resumable
	// when another VM can continue from there.
	begun, resumable bool
	// attempts counts the VMs that the request was sent to.
	attempts, maxAttempts int
	// timeLeft is set while another attempt could still finish in time.
	timeLeft bool
	// retryAllowed takes a retry from the budget; it is called at most once.
	retryAllowed func() bool
}

// next returns the step after an attempt. In bursts of failures, a request goes to a
// second VM only if it may run twice or can't have run yet, and only within the
// route's attempts and the shared retry budget; otherwise the response to the
// caller states whether the request may have run.
func (s attemptState) next() step {
	if s.kind == outcomeCallerGone {
		return stepNone
	}
	if s.mayRetry() && s.timeLeft && s.kind != outcomeTimedOut && s.attempts < s.maxAttempts && s.retryAllowed() {
		return stepRetry
	}
	switch {
	case s.begun:
		return stepAbort
	case s.kind == outcomeFailedResponse:
		return stepPassOn
	case s.mayHaveRun:
		return stepFail
	}
	return stepRefuse
}

// mayRetry reports whether the request may be sent to another VM.
func (s attemptState) mayRetry() bool {
	if s.begun {
		return s.resumable
	}
	return s.retryable || !s.mayHaveRun
}
