package residency

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/ident"
)

const (
	// wishTime is how long a refused caller is expected back.
	wishTime = 10 * time.Second
	// maxWishes bounds the models that are remembered.
	maxWishes = 16
)

// wish is a model that a refused caller is expected to come back for.
type wish struct {
	model ident.Model
	until time.Time
}

// remember notes a model whose request was refused, so that it is there when the
// caller comes back.
func (m *Scheduler) remember(now time.Time, name ident.Model) {
	m.wishes = slices.DeleteFunc(m.wishes, func(w wish) bool { return w.model == name || !now.Before(w.until) })
	if len(m.wishes) < maxWishes {
		m.wishes = append(m.wishes, wish{model: name, until: now.Add(wishTime)})
	}
}
