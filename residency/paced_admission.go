package residency

import "time"

const (
	// pauseShare is the fraction of the longest accepted pause that an admission may cause at
	// the present pace, burstShare at the lasting pace: a slow phase of 2.5 times that begins
	// right after the admission then still keeps to the accepted pause.
	pauseShare, burstShare = 0.85, 0.4
	// singleShare replaces burstShare for a prompt that is prefilled alone, or long prompts
	// would not be served anywhere. Other engines may be faster, so it is pauseShare only for
	// requests that have waited here already.
	singleShare = 0.45
	// longShare replaces singleShare for prompts that are longer than longPromptShare of all:
	// most engines are too slow for them, so that they would hardly be served.
	longShare, longPromptShare = 0.6, 0.95
	// initialLongPrompt is assumed, in tokens, before the first request.
	initialLongPrompt = 3000
	// promptStep is the step of the estimated length.
	promptStep = 0.02
	// fewStreams is the number of streams that may be made to pause for a prompt that is too
	// long for the engine.
	fewStreams = 2
	// statedTTL is how long after the last statement of a slowness the pace counts.
	statedTTL = 30 * time.Second
	// pacedRead is the interval of reads of the engine while streams run. A slow phase of
	// 600 ms is seen after two or three reads.
	pacedRead = 40 * time.Millisecond
)

// pacedAdmission decides how many streams and how much prefill an engine on a shared machine
// takes. It handles prompts that make running streams pause: on an engine of 0.6 times the
// usual speed that is in a slow phase, the prefill of 1,000 tokens takes 190 of the 300 ms that
// callers accept between events. It is in force only for engines whose server states its
// slowness.
type pacedAdmission struct {
	// stated is set while a statement of the slowness, last at statedAt, is newer than
	// statedTTL.
	stated   bool
	statedAt time.Time
	// usual is the lasting slowness as the engine's own server states it with its reports.
	usual quantile
	// longPrompt is the length of prompts, in tokens, that longPromptShare of them stay below.
	longPrompt quantile
	pace       enginePace
	budget     prefillBudget
	capacity   streamCapacity
	feedback   pauseFeedback
}

func newPacedAdmission() pacedAdmission {
	return pacedAdmission{
		usual:      quantile{below: 0.5, step: eventTimeStep},
		longPrompt: quantile{value: initialLongPrompt, below: longPromptShare, step: promptStep},
		pace:       newEnginePace(),
	}
}

// inForce reports whether it decides instead of the prefill queue and the concurrency limit.
func (a *pacedAdmission) inForce() bool { return a.stated }

// slownessStated records that the engine's server, or others of its service, state their
// slowness.
func (a *pacedAdmission) slownessStated(now time.Time) { a.stated, a.statedAt = true, now }

// observe takes a snapshot.
func (a *pacedAdmission) observe(s *Snapshot) {
	if s.Slowness > 0 {
		a.slownessStated(s.ReadAt)
	}
	a.stated = a.stated && s.ReadAt.Sub(a.statedAt) < statedTTL
	if !a.stated {
		return
	}
	a.capacity.advance(s.ReadAt)
	a.pace.observe(s.ReadAt, s.Runs)
	if s.Slowness > 0 {
		a.usual.add(s.Slowness)
		a.pace.setSlowness(s.ReadAt, s.Slowness/a.usual.value)
	}
}

// ended takes the outcome of an admitted request.
func (a *pacedAdmission) ended(now time.Time, p *pending, o Outcome) {
	if o.Slowness > 0 {
		a.slownessStated(now)
	}
	if !a.stated || o.TimeToFirstEvent == 0 {
		return
	}
	a.pace.observeFirstEvent(p.prefillAhead, o.TimeToFirstEvent-o.RoundTrip)
	a.feedback.ended(now, o.LongestEventGap, p.MaxEventGap)
	if o.Duration > 0 {
		a.capacity.ended(o.Duration, a.pace.prefillOf(p.PromptTokens))
	}
}

// admitted takes the prompt of an admitted request and returns how many tokens the engine has
// to prefill before its first event, or ahead while it is not in force.
func (a *pacedAdmission) admitted(now time.Time, tokens, ahead int) int {
	if !a.stated {
		return ahead
	}
	a.budget.add(tokens)
	a.capacity.admitted(now, a.pace.prefillOf(tokens))
	return a.pace.admitted(now, tokens)
}

// rate returns the present prefill rate in tokens a millisecond.
func (a *pacedAdmission) rate(now time.Time) float64 {
	return 1 / (a.pace.tokenTime.value * a.pace.slownessAt(now))
}

// wait returns how long a prompt waits until it makes no stream pause for longer than
// accepted, behind other prompts of ahead tokens. Gap is the shortest accepted pause of the
// running streams, and single the share of it that a prompt may take that is prefilled alone. It
// returns false if the prompt is too long for the engine.
func (a *pacedAdmission) wait(now time.Time, prompt, ahead, streams int, gap time.Duration, single float64) (time.Duration, bool) {
	if gap == 0 {
		return 0, true
	}
	rate, slowness, event := a.rate(now), a.pace.slownessAt(now), a.pace.event()
	duration := func(tokens float64) time.Duration { return milliseconds(tokens / rate) }
	spent, own := duration(a.budget.spent(now, rate)+float64(ahead)), duration(float64(prompt))
	lasting := func(share float64) time.Duration { return fraction(a.feedback.scale(), fraction(share, gap)-event) }
	bound := func(share float64) time.Duration {
		present := fraction(a.feedback.scale(), fraction(pauseShare, gap)-fraction(slowness, event))
		return min(fraction(slowness, lasting(share)), present)
	}
	drained := func(d time.Duration) time.Duration { return fraction(1/prefillShare, max(0, d)) }
	switch {
	case own <= bound(burstShare):
		return drained(spent + own - bound(burstShare)), true
	case own <= bound(single) || streams <= fewStreams:
		return drained(spent), true
	case slowness > 1 && fraction(1/slowness, own) <= lasting(single):
		// The next read shows whether the slow phase has ended.
		return max(pacedRead, a.pace.slowRemaining(now), drained(spent)), true
	}
	return 0, false
}

func fraction(f float64, d time.Duration) time.Duration { return time.Duration(f * float64(d)) }
