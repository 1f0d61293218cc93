package admission

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// flowKey names the flows that share an upstream fairly.
type flowKey struct {
	region      ident.Region
	environment ident.Environment
}

// flow is the waiting items of one key within one class, oldest first.
type flow struct {
	key   flowKey
	items []*entry
	work  time.Duration
}

func (f *flow) push(e *entry) {
	f.items = append(f.items, e)
	f.work += e.Hold
}

func (f *flow) removeAt(i int) *entry {
	e := f.items[i]
	f.items = append(f.items[:i], f.items[i+1:]...)
	f.work -= e.Hold
	return e
}
