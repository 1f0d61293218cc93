package main

// verdict is the result of comparing a figure with its target.
type verdict string

// The verdicts.
const (
	met    verdict = "met"
	missed verdict = "missed"
	// info marks a figure without a target.
	info verdict = "-"
)

// verdictFor returns met if the target was reached, and otherwise missed.
func verdictFor(reached bool) verdict {
	if reached {
		return met
	}
	return missed
}
