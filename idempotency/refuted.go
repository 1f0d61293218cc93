package idempotency

import (
	"sync"

	"github.com/laureltally/laureltally/ident"
)

// maxRefuted bounds the attempts that are remembered as not run. A forgotten one
// costs an inquiry, nothing else.
const maxRefuted = 4096

// refuted is a bounded set of attempts that agents have refused as not run. Such
// a word is final, so that no entry ever becomes wrong.
type refuted struct {
	mu    sync.Mutex
	set   map[ident.Attempt]struct{}
	order []ident.Attempt
}

func newRefuted() *refuted { return &refuted{set: make(map[ident.Attempt]struct{})} }

func (r *refuted) add(a ident.Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.set[a]; ok {
		return
	}
	r.set[a] = struct{}{}
	r.order = append(r.order, a)
	if len(r.order) > maxRefuted {
		delete(r.set, r.order[0])
		r.order = r.order[1:]
	}
}

func (r *refuted) has(a ident.Attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.set[a]
	return ok
}
