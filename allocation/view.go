package allocation

import (
	"slices"
	"sync"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// View holds the newest known grants of one environment. It is safe for
// concurrent use. What it shows may be old; it is a hint where to send work and
// a base for conditional updates, never a right.
type View struct {
	env ident.Environment

	mu sync.RWMutex
	// known is set by the first listing, which is at version zero in a new store.
	known  bool
	listed metastore.Version
	grants map[ident.Model]versioned
}

// NewView returns an empty view.
func NewView(env ident.Environment) *View {
	return &View{env: env, grants: make(map[ident.Model]versioned)}
}

// Replace takes a listing of all grants at version v. An older listing than the
// last is ignored, and Replace returns false.
func (w *View) Replace(objects []metastore.Object, v metastore.Version) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if v < w.listed {
		return false
	}
	w.known, w.listed = true, v
	for _, o := range objects {
		w.apply(o)
	}
	return true
}

// Apply takes one object and returns whether it was newer than the known one.
// An object that cannot be read is ignored.
func (w *View) Apply(o metastore.Object) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.apply(o)
}

func (w *View) apply(o metastore.Object) bool {
	m, ok := ModelFromKey(w.env, o.Key)
	if !ok || o.Version <= w.grants[m].version {
		return false
	}
	g, err := Decode(o.Key, o.Value)
	if err != nil {
		return false
	}
	w.grants[m] = versioned{grant: g, version: o.Version}
	return true
}

// Listed tells whether a listing has been taken.
func (w *View) Listed() bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.known
}

// Grant returns the grant of m and the version of its object, both zero if
// there is none.
func (w *View) Grant(m ident.Model) (Allocation, metastore.Version) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	v := w.grants[m]
	return v.grant, v.version
}

// Slots returns a copy of the slots of m in the order of their fences, which is
// the same at every reader.
func (w *View) Slots(m ident.Model) []Slot {
	w.mu.RLock()
	defer w.mu.RUnlock()
	slots := slices.Clone(w.grants[m].grant.Slots)
	slices.SortFunc(slots, func(a, b Slot) int { return int(int64(a.Fence) - int64(b.Fence)) })
	return slots
}

// Models returns the models that have a grant, by name.
func (w *View) Models() []ident.Model {
	w.mu.RLock()
	defer w.mu.RUnlock()
	models := make([]ident.Model, 0, len(w.grants))
	for m := range w.grants {
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
	for _, v := range w.grants {
		for _, s := range v.grant.Slots {
			n[s.VM]++
		}
	}
	return n
}
