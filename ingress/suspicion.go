package ingress

import (
	"errors"
	"time"

	"github.com/laureltally/laureltally/quarantine"
	"github.com/laureltally/laureltally/upstreamhttp"
)

// refusedByQuarantine ends a request with a quarantined trait and reports whether it did.
func (d *delivery) refusedByQuarantine() bool {
	q := &d.s.quarantine
	q.mu.Lock()
	h, remaining := q.detector.Held(d.s.o.Now(), d.traits)
	q.mu.Unlock()
	if remaining == 0 {
		return false
	}
	d.s.metrics.quarantineRefusals.Inc(1)
	// To come back earlier is of no use.
	d.retryNotBefore = remaining
	d.noVM(&QuarantinedError{Trait: h.Trait, Remaining: remaining})
	return true
}

// observeAnswer takes what an answer shows about the traits of the request, once for each
// attempt, and tells other routers of traits that they may suspect. A failure of the server shows
// nothing: a faulty one fails before it runs a request as well as after.
func (d *delivery) observeAnswer(res result, begun time.Time) {
	ending := quarantine.Ending{Complete: res.kind == outcomeDelivered, Streamed: res.streamed}
	if d.soundObserved || !ending.Sound() {
		return
	}
	d.soundObserved = true
	q := &d.s.quarantine
	q.mu.Lock()
	news := q.detector.ObserveAnswer(d.s.o.Now(), d.traits, begun.Add(res.timeToFirstEvent))
	q.mu.Unlock()
	d.s.tellSound(news)
}

// observeLostConnection takes the end of an attempt. If its connection broke, the server may
// have crashed. A sidecar notices that by itself if the request had a reservation; it
// takes longer, so that suspected requests are looked into here too, and one that has restarted
// knows of none of the requests that were running before.
func (d *delivery) observeLostConnection(res result, reserved bool) {
	d.s.observeAttemptError(res.err)
	var lost *upstreamhttp.ConnectionError
	if d.soundObserved || d.s.forceStop.Err() != nil || res.kind != outcomeBroken || !errors.As(res.err, &lost) {
		return
	}
	if reserved && !d.s.suspected(d.traits) && !d.s.sidecarsUncertain() {
		return
	}
	d.s.checkServer(d.choice.VM, d.traits)
}
