package residency

import "time"

const (
	// initialPrefillRate is how many prompt tokens an engine is taken to read in a
	// millisecond before any answer has told.
	initialPrefillRate = 15
	// initialSpread is the spread of prompts in tokens that goes with it, and
	// initialWeight as how many answers it counts.
	initialSpread = 1000
	initialWeight = 20
	// minPrefillRate and maxPrefillRate bound what answers can tell.
	minPrefillRate = 2
	maxPrefillRate = 100
	// sampleWeight is the weight of one answer in what is learnt, so that the last
	// hundred count.
	sampleWeight = 0.01
	// backlogShare is the part of the longest pause between events that prompts
	// may take which the engine still has to read. An event covers a few steps, each
	// of which reads what has come by then; docs/design/load.md has other shares.
	backlogShare = 0.5
)

// prefillQueue estimates what an engine has still to read of the prompts of granted
// requests. It answers bursts: engines read prompts between the tokens of other
// requests, so several long prompts at once make the running answers pause for too
// long, while the same prompts one after the other don't. It also allows many more
// requests at once than a limit on their number that has to keep out such bursts.
type prefillQueue struct {
	// doneAt is when the engine will have read all, at the estimated rate.
	doneAt time.Time
	fit    lineFit
}

func newPrefillQueue() prefillQueue {
	return prefillQueue{fit: lineFit{n: initialWeight, varX: initialSpread * initialSpread, co: initialSpread * initialSpread / initialPrefillRate}}
}

// rate is the estimate in tokens a millisecond.
func (p *prefillQueue) rate() float64 {
	return min(maxPrefillRate, max(minPrefillRate, 1/p.fit.slope()))
}

// time is how long the engine takes to read tokens.
func (p *prefillQueue) time(tokens int) time.Duration {
	return time.Duration(float64(tokens) / p.rate() * float64(time.Millisecond))
}

// backlog is how long the engine takes to read what it has.
func (p *prefillQueue) backlog(now time.Time) time.Duration { return max(0, p.doneAt.Sub(now)) }

// add notes a granted request and returns how many tokens the engine has to read
// until its first event.
func (p *prefillQueue) add(now time.Time, tokens int) int {
	p.doneAt = now.Add(p.backlog(now) + p.time(tokens))
	return int(float64(p.doneAt.Sub(now)) / float64(time.Millisecond) * p.rate())
}

// learn takes the time to the first event of a request before which the engine had
// ahead tokens to read, its own among them.
func (p *prefillQueue) learn(ahead int, first time.Duration) {
	p.fit.add(float64(ahead), float64(first)/float64(time.Millisecond))
}

// maxBacklog is how much time prompts may take that the engine has still to read,
// beside running requests of which the most impatient accepts pauses of gap. Zero
// stands for no bound.
func maxBacklog(gap time.Duration) time.Duration { return time.Duration(backlogShare * float64(gap)) }
