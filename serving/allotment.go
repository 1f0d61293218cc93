package serving

// Allotment is how much a tenant may request from all routers together. The zero value
// sets no limit.
type Allotment struct {
	// PerSecond is the sustained rate, and Burst what may be requested in addition, in
	// tokens or requests. A rate of zero means no limit.
	PerSecond, Burst float64
	// Tokens is set if requests cost their tokens; otherwise each costs one.
	Tokens bool
	// PlainTokens is the cost of a request that states no token counts, in tokens.
	PlainTokens float64
}

// Limited reports whether the allotment sets a limit.
func (a *Allotment) Limited() bool { return a.PerSecond > 0 }

// Cost returns what a request takes from the allotment.
func (a *Allotment) Cost(r *RequestInfo) float64 {
	switch {
	case !a.Tokens:
		return 1
	case r.HasTokenCounts:
		return float64(r.PromptTokens + r.MaxOutputTokens)
	}
	return a.PlainTokens
}
