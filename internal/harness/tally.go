package harness

import (
	"fmt"
	"maps"
	"sync"
)

// Tally counts the outcomes of requests and records the orders.
type Tally struct {
	mu       sync.Mutex
	counts   map[Outcome]int
	codes    map[string]int
	orders   map[string]order
	problems []string
}

// order is the state of an order as its caller sees it.
type order struct {
	answered bool
	// notRun is set if the last refusal reported that the order did not run.
	notRun bool
	// word is the body of the last refusal.
	word string
}

// maxProblems bounds the number of recorded descriptions of lost and mismatched
// requests.
const maxProblems = 12

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{counts: make(map[Outcome]int), codes: make(map[string]int), orders: make(map[string]order)}
}

func (t *Tally) record(o Outcome, detail string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[o]++
	if (o == Lost || o == Mismatched) && len(t.problems) < maxProblems {
		t.problems = append(t.problems, detail)
	}
}

// order records the state of an order.
func (t *Tally) order(id string, o order) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.orders[id] = o
}

func (t *Tally) addRefusal(code string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.codes[code]++
}

// Codes returns the number of refusals by their code and run state.
func (t *Tally) Codes() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.codes)
}

// Count returns how many requests ended with the outcome.
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

// Problems returns descriptions of up to maxProblems lost and mismatched requests, and
// of all orders that CheckOrders found duplicated or misreported.
func (t *Tally) Problems() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.problems
}

// CheckOrders compares the responses to orders with runs, which gives how often
// each order ran. It returns how many orders ran more than once, and how many were
// misreported: answered without a run, or reported as not run although they ran.
func (t *Tally) CheckOrders(runs map[string]int) (duplicated, misreported int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, o := range t.orders {
		n := runs[id]
		if n > 1 {
			duplicated++
			t.problems = append(t.problems, fmt.Sprintf("order %s ran %d times", id, n))
		}
		if o.answered && n == 0 || o.notRun && n > 0 {
			misreported++
			t.problems = append(t.problems, fmt.Sprintf("order %s: %+v but ran %d times", id, o, n))
		}
	}
	return duplicated, misreported
}
