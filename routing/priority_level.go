package routing

import "github.com/laureltally/laureltally/ident"

// priorityLevels is the number of priorities that are counted separately; less
// urgent ones are counted with the last.
const priorityLevels = 4

func priorityLevel(p ident.Priority) int { return min(max(0, int(p)), priorityLevels-1) }

// countUpTo sums the counts of the priorities that are at least as urgent as p.
func countUpTo(counts *[priorityLevels]int32, p ident.Priority) int {
	n := 0
	for _, c := range counts[:priorityLevel(p)+1] {
		n += int(c)
	}
	return n
}
