package main

// verdict tells whether a figure reaches its target.
type verdict string

// The verdicts.
const (
	met    verdict = "met"
	missed verdict = "missed"
	// info marks a figure without a target.
	info verdict = "-"
)

// judge returns met if the target was reached.
func judge(reached bool) verdict {
	if reached {
		return met
	}
	return missed
}
