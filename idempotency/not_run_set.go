package idempotency

import (
	"sync"

	"github.com/laureltally/laureltally/ident"
)

// maxNotRunAttempts limits the attempts that are remembered as not run. A
// discarded one costs an additional inquiry, nothing else.
const maxNotRunAttempts = 4096

// notRunSet is a bounded set of attempts that agents have rejected as not run.
// Such a report is final, so an entry never becomes outdated.
type notRunSet struct {
	mu    sync.Mutex
	set   map[ident.Attempt]struct{}
	order []ident.Attempt
}

func newNotRunSet() *notRunSet { return &notRunSet{set: make(map[ident.Attempt]struct{})} }

func (r *notRunSet) add(a ident.Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.set[a]; ok {
		return
	}
	r.set[a] = struct{}{}
	r.order = append(r.order, a)
	if len(r.order) > maxNotRunAttempts {
		delete(r.set, r.order[0])
		r.order = r.order[1:]
	}
}

func (r *notRunSet) has(a ident.Attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.set[a]
	return ok
}
