package residency

import "time"

const (
	// initialPrefillRate is the assumed prefill speed of an engine, in prompt tokens
	// per millisecond, before the first response.
	initialPrefillRate = 15
	// initialStdDev is the assumed standard deviation of prompt lengths in tokens for
	// the initial rate, and initialWeight the number of responses that it counts as.
	initialStdDev = 1000
	initialWeight = 20
	// minPrefillRate and maxPrefillRate bound the estimate.
	minPrefillRate = 2
	maxPrefillRate = 100
	// sampleWeight is the weight of one response in the estimate, so that about the
	// last hundred count.
	sampleWeight = 0.01
	// backlogShare is the fraction of the longest accepted pause between events that
	// the prefill backlog may take. An event covers several engine steps, each of
	// which prefills prompts that have arrived by then. For other values see
	// docs/design/load.md.
	backlogShare = 0.5
)

// prefillQueue estimates the prefill backlog of the engine: the prompt tokens of
// admitted requests that it has not yet processed. It guards against bursts: engines
// prefill prompts between the tokens of other requests, so several long prompts at
// once stall the running streams, while the same prompts one after the other don't.
// It also allows a much higher concurrency limit than would be possible if that limit
// alone had to prevent such bursts.
type prefillQueue struct {
	// doneAt is when the backlog is processed, at the estimated rate.
	doneAt time.Time
	fit    lineFit
}

func newPrefillQueue() prefillQueue {
	return prefillQueue{fit: lineFit{n: initialWeight, varX: initialStdDev * initialStdDev, cov: initialStdDev * initialStdDev / initialPrefillRate}}
}

// rate returns the estimate in tokens per millisecond.
func (p *prefillQueue) rate() float64 {
	return min(maxPrefillRate, max(minPrefillRate, 1/p.fit.slope()))
}

// duration returns the time to prefill a number of tokens.
func (p *prefillQueue) duration(tokens int) time.Duration {
	return time.Duration(float64(tokens) / p.rate() * float64(time.Millisecond))
}

// backlog returns the time to prefill the whole backlog.
func (p *prefillQueue) backlog(now time.Time) time.Duration { return max(0, p.doneAt.Sub(now)) }

// add adds the prompt of an admitted request and returns how many tokens the engine
// has to prefill before the first event of the request.
func (p *prefillQueue) add(now time.Time, tokens int) int {
	p.doneAt = now.Add(p.backlog(now) + p.duration(tokens))
	return int(float64(p.doneAt.Sub(now)) / float64(time.Millisecond) * p.rate())
}

// remove takes back what the engine has not prefilled of a prompt that was added, as its request
// was not run or was given up. End is the estimated end of that prompt.
func (p *prefillQueue) remove(now, end time.Time, tokens int) {
	p.doneAt = p.doneAt.Add(-min(p.duration(tokens), max(0, end.Sub(now))))
}

// clear empties the backlog, since the engine has restarted.
func (p *prefillQueue) clear() { p.doneAt = time.Time{} }

// observe takes the time to the first event of a request before which the engine had
// ahead tokens to prefill, including its own.
func (p *prefillQueue) observe(ahead int, first time.Duration) {
	p.fit.add(float64(ahead), float64(first)/float64(time.Millisecond))
}

// maxBacklog returns the maximum prefill backlog for the admission of a request that
// accepts pauses of gap between events. Zero means unbounded.
func maxBacklog(gap time.Duration) time.Duration { return time.Duration(backlogShare * float64(gap)) }
