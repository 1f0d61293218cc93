package residency

import "time"

const (
	// startReadRate is how many prompt tokens an engine is taken to read in a
	// millisecond before any answer has told.
	startReadRate = 15
	// startSpread is the spread of prompts in tokens that goes with it, and
	// startWeight as how many answers it counts.
	startSpread = 1000
	startWeight = 20
	// leastReadRate and mostReadRate bound what answers can tell.
	leastReadRate = 2
	mostReadRate  = 100
	// readWeight is the weight of one answer in what is learnt, so that the last
	// hundred count.
	readWeight = 0.01
	// readAheadShare is the part of the longest pause between events that prompts
	// may take which the engine still has to read. An event covers a few steps, each
	// of which reads what has come by then; docs/design/load.md has other shares.
	readAheadShare = 0.5
)

// prompts estimates what an engine has still to read of the prompts of granted
// requests. It answers bursts: engines read prompts between the tokens of other
// requests, so several long prompts at once make the running answers pause for too
// long, while the same prompts one after the other don't. It also allows many more
// requests at once than a limit on their number that has to keep out such bursts.
type prompts struct {
	// read is when the engine will have read all, at the estimated rate.
	read time.Time
	fit  lineFit
}

func newPrompts() prompts {
	return prompts{fit: lineFit{n: startWeight, varX: startSpread * startSpread, co: startSpread * startSpread / startReadRate}}
}

// rate is the estimate in tokens a millisecond.
func (p *prompts) rate() float64 {
	return min(mostReadRate, max(leastReadRate, 1/p.fit.slope()))
}

// time is how long the engine takes to read tokens.
func (p *prompts) time(tokens int) time.Duration {
	return time.Duration(float64(tokens) / p.rate() * float64(time.Millisecond))
}

// left is how long the engine takes to read what it has.
func (p *prompts) left(now time.Time) time.Duration { return max(0, p.read.Sub(now)) }

// add notes a granted request and returns how many tokens the engine has to read
// until its first event.
func (p *prompts) add(now time.Time, tokens int) int {
	p.read = now.Add(p.left(now) + p.time(tokens))
	return int(float64(p.read.Sub(now)) / float64(time.Millisecond) * p.rate())
}

// learn takes the time to the first event of a request before which the engine had
// ahead tokens to read, its own among them.
func (p *prompts) learn(ahead int, first time.Duration) {
	p.fit.add(float64(ahead), float64(first)/float64(time.Millisecond))
}

// readAhead is how much time prompts may take that the engine has still to read,
// beside running requests of which the most impatient accepts pauses of gap. Zero
// stands for no bound.
func readAhead(gap time.Duration) time.Duration { return time.Duration(readAheadShare * float64(gap)) }
