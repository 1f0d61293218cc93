package standin

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// VMList is a metastore.VMLister whose changes become visible after a lag.
type VMList struct {
	lag time.Duration

	mu      sync.Mutex
	visible map[ident.VM]metastore.VM
	pending []pendingVMChange
}

var _ metastore.VMLister = (*VMList)(nil)

// NewVMList returns an empty list with the given lag.
func NewVMList(lag time.Duration) *VMList {
	return &VMList{lag: lag, visible: make(map[ident.VM]metastore.VM)}
}

// Apply makes a change that becomes visible after the lag.
func (l *VMList) Apply(c VMChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, pendingVMChange{change: c, visibleAt: time.Now().Add(l.lag)})
}

// ListVMs implements metastore.VMLister.
func (l *VMList) ListVMs(ctx context.Context) ([]metastore.VM, error) {
	if ctx.Err() != nil {
		return nil, &metastore.UnavailableError{Op: "vms", Err: ctx.Err()}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyDue(time.Now())
	return slices.SortedFunc(maps.Values(l.visible), func(a, b metastore.VM) int {
		return cmp.Compare(a.ID, b.ID)
	}), nil
}

// applyDue applies the pending changes that are due. The caller holds mu.
func (l *VMList) applyDue(now time.Time) {
	for len(l.pending) > 0 && !l.pending[0].visibleAt.After(now) {
		c := l.pending[0].change
		l.pending = l.pending[1:]
		if c.Put != nil {
			l.visible[c.Put.ID] = *c.Put
		}
		delete(l.visible, c.Remove)
	}
}
