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

func (s *notRunSet) add(a ident.Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.set[a]; ok {
		return
	}
	s.set[a] = struct{}{}
	s.order = append(s.order, a)
	if len(s.order) > maxNotRunAttempts {
		delete(s.set, s.order[0])
		s.order = s.order[1:]
	}
}

func (s *notRunSet) has(a ident.Attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.set[a]
	return ok
}
