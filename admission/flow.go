package admission

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// flow holds the waiting items of one environment within a class, oldest first.
type flow struct {
	environment ident.Environment
	items       []*entry
	work        time.Duration
	// started is the total work that the flow has started, its virtual time.
	started time.Duration
}

func (f *flow) push(e *entry) {
	f.items = append(f.items, e)
	f.work += e.RunTime
}

func (f *flow) removeAt(i int) *entry {
	e := f.items[i]
	f.items = append(f.items[:i], f.items[i+1:]...)
	f.work -= e.RunTime
	return e
}
