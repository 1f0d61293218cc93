package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// result holds the figures of one run.
type result struct {
	name                         string
	requests                     int
	answered, refused            int
	lost, duplicated, mismatched int
	misreported                  int
	excessReplicas               int
	overcommits                  int64
	samples                      int
	answeredAfter                int
	problems                     []string
	codes                        map[string]int
	err                          error
	logs                         map[string]string
}

// failed reports whether the run failed or broke a guarantee, or whether no request
// was answered after the fault.
func (r result) failed() bool {
	return r.err != nil || r.lost+r.duplicated+r.mismatched+r.misreported+r.excessReplicas > 0 || r.overcommits > 0 || r.answeredAfter == 0
}

func printTable(w io.Writer, results []result) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "fault\trequests\tanswered\trefused\tlost\tduplicated\tmismatched\tmisreported\treplicas over limit\tmemory overcommits\tanswered after fault\t")
	for _, r := range results {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n",
			r.name, r.requests, r.answered, r.refused, r.lost, r.duplicated, r.mismatched, r.misreported, r.excessReplicas, r.overcommits, r.answeredAfter)
	}
	_ = t.Flush()
	_, _ = fmt.Fprintln(w, "\nreasons for refusals")
	for _, r := range results {
		_, _ = fmt.Fprintf(w, "%s: %v\n", r.name, r.codes)
	}
	for _, r := range results {
		if !r.failed() {
			continue
		}
		_, _ = fmt.Fprintf(w, "%s: %v\n", r.name, r.err)
		for _, p := range r.problems {
			_, _ = fmt.Fprintln(w, " ", p)
		}
		for name, tail := range r.logs {
			_, _ = fmt.Fprintf(w, "--- %s\n%s\n", name, tail)
		}
	}
}
