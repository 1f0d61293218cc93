package residency

import "time"

// prefillBudget is how many prompt tokens have been admitted, as a leaky bucket. It handles
// prompts that arrive one after the other: an event takes several engine steps, each of which
// prefills the prompts that have arrived by then, so that a stream also pauses when no two
// prompts wait at the same time.
type prefillBudget struct {
	tokens float64
	at     time.Time
}

// prefillShare is the share of time in which prompts may be prefilled while the budget is in
// use: with burstShare it fills pauseShare of an accepted pause.
const prefillShare = pauseShare - burstShare

// spent returns the tokens that count at a time, at a rate of the engine in tokens a
// millisecond.
func (b *prefillBudget) spent(now time.Time, rate float64) float64 {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens = max(0, b.tokens-prefillShare*rate*float64(elapsed)/float64(time.Millisecond))
		b.at = now
	}
	return b.tokens
}

// add counts the prompt of an admitted request.
func (b *prefillBudget) add(tokens int) { b.tokens += float64(tokens) }
