package allocation

import (
	"slices"
	"sync"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// View holds the newest known allocations of one environment. It is safe for
// concurrent use. It may be outdated: it is a hint for routing and a base for
// conditional updates, and does not prove that a slot is held.
type View struct {
	env ident.Environment

	mu sync.RWMutex
	// hasListing is set by the first listing, whose version is zero in a new
	// store.
	hasListing  bool
	listVersion metastore.Version
	allocations map[ident.Model]versioned
}

// NewView returns an empty view.
func NewView(env ident.Environment) *View {
	return &View{env: env, allocations: make(map[ident.Model]versioned)}
}

// Replace applies a listing of all allocations at version v and returns true. A
// listing older than the last one is ignored, and Replace returns false.
func (w *View) Replace(objects []metastore.Object, v metastore.Version) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if v < w.listVersion {
		return false
	}
	w.hasListing, w.listVersion = true, v
	for _, o := range objects {
		w.apply(o)
	}
	return true
}

// Apply applies one object and reports whether it was newer than the known one.
// An object that cannot be decoded is ignored.
func (w *View) Apply(o metastore.Object) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.apply(o)
}

func (w *View) apply(o metastore.Object) bool {
	m, ok := ModelFromKey(w.env, o.Key)
	if !ok || o.Version <= w.allocations[m].version {
		return false
	}
	a, err := Decode(o.Key, o.Value)
	if err != nil {
		return false
	}
	w.allocations[m] = versioned{allocation: a, version: o.Version}
	return true
}

// Listed reports whether a listing has been applied.
func (w *View) Listed() bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.hasListing
}

// ForModel returns the allocation of m and the version of its object, both zero
// if there is none.
func (w *View) ForModel(m ident.Model) (Allocation, metastore.Version) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	v := w.allocations[m]
	return v.allocation, v.version
}

// Slots returns a copy of the slots of m in the order of their fencing tokens,
// which is the same for every reader.
func (w *View) Slots(m ident.Model) []Slot {
	w.mu.RLock()
	defer w.mu.RUnlock()
	slots := slices.Clone(w.allocations[m].allocation.Slots)
	slices.SortFunc(slots, func(a, b Slot) int { return int(int64(a.Fence) - int64(b.Fence)) })
	return slots
}

// Models returns the models that have an allocation, sorted by name.
func (w *View) Models() []ident.Model {
	w.mu.RLock()
	defer w.mu.RUnlock()
	models := make([]ident.Model, 0, len(w.allocations))
	for m := range w.allocations {
		models = append(models, m)
	}
	slices.Sort(models)
	return models
}

// SlotsByVM counts the slots of each VM over all models.
func (w *View) SlotsByVM() map[ident.VM]int {
	w.mu.RLock()
	defer w.mu.RUnlock()
	n := make(map[ident.VM]int)
	for _, v := range w.allocations {
		for _, s := range v.allocation.Slots {
			n[s.VM]++
		}
	}
	return n
}
