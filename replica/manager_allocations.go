package replica

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/laureltally/laureltally/allocation"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// watchAllocations keeps the machine's slots up to date. The platform may be
// unavailable for a long time; known slots remain usable meanwhile.
func (m *Manager) watchAllocations(ctx context.Context) error {
	b := backoff.NewExponentialBackOff()
	var barrier metastore.Version
	for ctx.Err() == nil {
		err := m.listAndWatch(ctx, &barrier, b)
		if ctx.Err() == nil && err != nil {
			m.o.Logger.WithError(err).Warn("allocation watch ended")
		}
		m.sleep(ctx, b.NextBackOff())
	}
	return context.Cause(ctx)
}

// listAndWatch lists the allocations and watches them from that version until
// the watch ends.
func (m *Manager) listAndWatch(ctx context.Context, barrier *metastore.Version, b *backoff.ExponentialBackOff) error {
	if *barrier == 0 {
		v, err := m.writeBarrier(ctx)
		if err != nil {
			return fmt.Errorf("write barrier object: %w", err)
		}
		*barrier = v
		m.event(func(time.Time) { m.machine.barrierWritten(v) })
	}
	objects, version, err := m.o.Store.List(ctx, allocation.KeyPrefix(m.o.Environment))
	if err != nil {
		return fmt.Errorf("list allocations: %w", err)
	}
	if !m.handleListing(objects, version) {
		return &StaleListError{Version: version}
	}
	b.Reset()
	ctx, cancel := context.WithTimeout(ctx, m.o.RelistInterval)
	defer cancel()
	if err := m.o.Store.Watch(ctx, allocation.KeyPrefix(m.o.Environment), version, m.handleWatchEvent); err != nil {
		return fmt.Errorf("watch allocations: %w", err)
	}
	return nil
}

// writeBarrier writes an object that belongs to this incarnation only and
// returns its version. A listing at that version or above cannot be older than
// the incarnation, even if listings are served from outdated copies of the
// store.
func (m *Manager) writeBarrier(ctx context.Context) (metastore.Version, error) {
	key := fmt.Sprintf("barriers/%s/%s/%x", m.o.Environment, m.o.VM, uint64(m.o.Incarnation))
	v, err := m.o.Store.Put(ctx, key, []byte("{}"), 0)
	var conflict *metastore.ConflictError
	if errors.As(err, &conflict) && conflict.Actual != 0 {
		// An earlier attempt of this incarnation took effect.
		v, err = conflict.Actual, nil
	}
	if err != nil {
		return 0, err
	}
	if err := m.o.Store.Delete(ctx, key, v); err != nil {
		m.o.Logger.WithError(err).Debug("barrier object not deleted")
	}
	return v, nil
}

func (m *Manager) handleListing(objects []metastore.Object, version metastore.Version) bool {
	slots := make(map[ident.Model]allocation.Slot)
	for _, o := range objects {
		if name, slot, ok := m.slotOf(o); ok && slot.Fence != 0 {
			slots[name] = slot
		}
	}
	applied := false
	m.event(func(now time.Time) { applied = m.machine.applyListing(version, slots, now) })
	return applied
}

func (m *Manager) handleWatchEvent(e metastore.Event) {
	o := e.Object
	if e.Deleted {
		// Allocations are never deleted; a manual deletion removes the slot.
		o.Value = []byte("{}")
	}
	if name, slot, ok := m.slotOf(o); ok {
		m.event(func(now time.Time) { m.machine.applyChange(name, slot, o.Version, now) })
	}
}

// slotOf returns the VM's slot in an allocation object. If the object cannot be
// decoded, there is no slot.
func (m *Manager) slotOf(o metastore.Object) (ident.Model, allocation.Slot, bool) {
	name, ok := allocation.ModelFromKey(m.o.Environment, o.Key)
	if !ok {
		return "", allocation.Slot{}, false
	}
	alloc, err := allocation.Decode(o.Key, o.Value)
	if err != nil {
		m.o.Logger.WithError(err).Error("allocation cannot be decoded")
		return name, allocation.Slot{}, true
	}
	slot, _ := alloc.Slot(m.o.VM)
	return name, slot, true
}

// writeSlot revokes or releases the VM's slot by one conditional update.
func (m *Manager) writeSlot(ctx context.Context, a slotWrite) {
	err := m.updateSlot(ctx, a)
	if err != nil {
		m.o.Metrics.Counter("slot_write_failures").Inc(1)
		m.o.Logger.WithError(err).WithField("model", string(a.model)).Warn("slot write failed")
	}
	m.event(func(now time.Time) { m.machine.slotWriteDone(a.model, now) })
}

func (m *Manager) updateSlot(ctx context.Context, a slotWrite) error {
	key := allocation.Key(m.o.Environment, a.model)
	o, err := m.o.Store.Get(ctx, key)
	if err != nil {
		return fmt.Errorf("read allocation: %w", err)
	}
	alloc, err := allocation.Decode(key, o.Value)
	if err != nil {
		return err
	}
	next, ok := a.apply(alloc, m.o.VM)
	if ok {
		next.Writer = fmt.Sprintf("%s-%x", m.o.VM, uint64(m.o.Incarnation))
		if o.Value, err = next.Encode(); err != nil {
			return err
		}
		if o.Version, err = m.o.Store.Put(ctx, key, o.Value, o.Version); err != nil {
			return fmt.Errorf("write allocation: %w", err)
		}
	}
	m.handleWatchEvent(metastore.Event{Object: o})
	return nil
}

func (a slotWrite) apply(alloc allocation.Allocation, vm ident.VM) (allocation.Allocation, bool) {
	if a.release {
		return allocation.Release(alloc, vm, a.fence)
	}
	return allocation.Revoke(alloc, vm, a.fence)
}

func (m *Manager) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
