package harness

import (
	"fmt"
	"maps"
	"sync"
)

// Tally counts outcomes and remembers the orders.
type Tally struct {
	mu       sync.Mutex
	counts   map[Outcome]int
	codes    map[string]int
	orders   map[string]order
	problems []string
}

// order is what the caller knows of an order.
type order struct {
	answered bool
	// notRun is set when the last word was "not run".
	notRun bool
	// word is the last refusal.
	word string
}

// maxProblems bounds the details that are kept.
const maxProblems = 12

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{counts: make(map[Outcome]int), codes: make(map[string]int), orders: make(map[string]order)}
}

func (t *Tally) add(o Outcome, detail string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[o]++
	if (o == Lost || o == Mismatched) && len(t.problems) < maxProblems {
		t.problems = append(t.problems, detail)
	}
}

func (t *Tally) order(id string, o order) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.orders[id] = o
}

func (t *Tally) refused(code string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.codes[code]++
}

// Codes returns how often each code was the reason for a refusal.
func (t *Tally) Codes() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.codes)
}

// Count returns how many requests ended so.
func (t *Tally) Count(o Outcome) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[o]
}

// Total returns how many requests ended.
func (t *Tally) Total() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, c := range t.counts {
		n += c
	}
	return n
}

// Problems describes some requests that were lost or crossed.
func (t *Tally) Problems() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.problems
}

// CheckOrders compares what callers were told with what has run. It returns the
// number of doubled orders and of untrue answers: answered but not run, or
// called not run although it ran.
func (t *Tally) CheckOrders(runs map[string]int) (doubled, untrue int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, o := range t.orders {
		n := runs[id]
		if n > 1 {
			doubled++
			t.problems = append(t.problems, fmt.Sprintf("order %s ran %d times", id, n))
		}
		if o.answered && n == 0 || o.notRun && n > 0 {
			untrue++
			t.problems = append(t.problems, fmt.Sprintf("order %s: %+v but ran %d times", id, o, n))
		}
	}
	return doubled, untrue
}
