package replica

import (
	"sync"

	"github.com/laureltally/laureltally/ident"
)

// Lease keeps a model and an adapter loaded while a request runs.
type Lease struct {
	Model   ident.Model
	Adapter ident.Adapter

	once    sync.Once
	release func()
}

// Release ends the lease. Further calls have no effect.
func (l *Lease) Release() { l.once.Do(l.release) }
