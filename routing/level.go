package routing

import "github.com/laureltally/laureltally/ident"

// levels is how many priorities are counted apart; less urgent ones are counted
// with the last.
const levels = 4

func level(p ident.Priority) int { return min(max(0, int(p)), levels-1) }

// upTo sums the counts of the priorities that are as urgent as p or more.
func upTo(counts *[levels]int32, p ident.Priority) int {
	n := 0
	for _, c := range counts[:level(p)+1] {
		n += int(c)
	}
	return n
}
