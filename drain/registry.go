package drain

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/laureltally/laureltally/audit"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/metastore/persist"
)

// endedRetention is how long the object of an ended drain is kept.
const endedRetention = 24 * time.Hour

// Registry begins and ends drains. It is safe for concurrent use, also by
// several processes.
type Registry struct{ o Options }

// New returns the Registry of a store.
func New(o Options) *Registry {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.NewID == nil {
		o.NewID = rand.Text
	}
	if o.RetryTimeout == 0 {
		o.RetryTimeout = DefaultRetryTimeout
	}
	return &Registry{o: o}
}

// Begin starts the drain of a VM. It fails with an *AlreadyDrainingError if the
// VM is draining already. The audit record is part of the stored state and then
// also written on its own. If only that write fails, Begin returns an error, but
// the drain is in force and Repair writes the record later.
func (o *Registry) Begin(ctx context.Context, r Request) error {
	ctx, cancel := context.WithTimeout(ctx, o.o.RetryTimeout)
	defer cancel()
	previous, version, err := o.read(ctx, r, 0)
	if err != nil {
		return fmt.Errorf("begin drain: %w", err)
	}
	if version != 0 && !previous.Ended {
		return &AlreadyDrainingError{VM: r.VM, Actor: previous.Actor, Time: previous.Time}
	}
	if err := o.writeAuditRecords(ctx, previous); err != nil {
		return err
	}
	state := State{VM: r.VM, Environment: r.Environment, Actor: r.Actor, Reason: r.Reason, Time: o.o.Now()}
	state.AuditRecords = []audit.Record{o.newAuditRecord(r, audit.ActionDrain)}
	if _, err := o.put(ctx, state, version); err != nil {
		return o.alreadyDraining(ctx, r, err)
	}
	return o.writeAuditRecords(ctx, state)
}

// alreadyDraining turns the conflict with a drain begun by another operator
// into an *AlreadyDrainingError.
func (o *Registry) alreadyDraining(ctx context.Context, r Request, err error) error {
	var conflict *metastore.ConflictError
	if !errors.As(err, &conflict) {
		return fmt.Errorf("begin drain: %w", err)
	}
	current, _, err := o.read(ctx, r, conflict.Actual)
	if err != nil {
		return fmt.Errorf("begin drain: %w", err)
	}
	return &AlreadyDrainingError{VM: r.VM, Actor: current.Actor, Time: current.Time}
}

// End ends the drain of a VM. It fails with a *NotDrainingError if the VM is
// not draining, and with a *metastore.ConflictError if another operator has
// changed the drain in the meantime.
func (o *Registry) End(ctx context.Context, r Request) error {
	ctx, cancel := context.WithTimeout(ctx, o.o.RetryTimeout)
	defer cancel()
	state, version, err := o.read(ctx, r, 0)
	if err != nil {
		return fmt.Errorf("end drain: %w", err)
	}
	if version == 0 || state.Ended {
		return &NotDrainingError{VM: r.VM}
	}
	state.Ended, state.EndTime = true, o.o.Now()
	state.AuditRecords = append(state.AuditRecords, o.newAuditRecord(r, audit.ActionUndrain))
	if _, err := o.put(ctx, state, version); err != nil {
		return fmt.Errorf("end drain: %w", err)
	}
	return o.writeAuditRecords(ctx, state)
}

// Repair writes the audit records that are missing after a crash, and deletes
// drains that ended longer ago than endedRetention.
func (o *Registry) Repair(ctx context.Context) error {
	objects, _, err := o.o.Store.List(ctx, KeyPrefix)
	if err != nil {
		return fmt.Errorf("list drains: %w", err)
	}
	for _, object := range objects {
		if err := o.repair(ctx, object); err != nil {
			return err
		}
	}
	return nil
}

func (o *Registry) repair(ctx context.Context, object metastore.Object) error {
	var state State
	if err := json.Unmarshal(object.Value, &state); err != nil {
		return fmt.Errorf("decode drain %s: %w", object.Key, err)
	}
	if err := o.writeAuditRecords(ctx, state); err != nil {
		return err
	}
	if !state.Ended || o.o.Now().Sub(state.EndTime) < endedRetention {
		return nil
	}
	if err := o.o.Store.Delete(ctx, object.Key, object.Version); err != nil {
		return fmt.Errorf("delete ended drain: %w", err)
	}
	return nil
}

// writeAuditRecords writes the audit records of a drain on their own.
func (o *Registry) writeAuditRecords(ctx context.Context, state State) error {
	for _, r := range state.AuditRecords {
		_, err := persist.Retry(ctx, func() (struct{}, error) { return struct{}{}, audit.Write(ctx, o.o.Store, r) })
		if err != nil {
			return err
		}
	}
	return nil
}

func (o *Registry) put(ctx context.Context, state State, expect metastore.Version) (metastore.Version, error) {
	value, err := json.Marshal(state)
	if err != nil {
		return 0, fmt.Errorf("encode drain: %w", err)
	}
	return persist.Put(ctx, o.o.Store, Key(state.VM), value, expect)
}

func (o *Registry) read(ctx context.Context, r Request, atLeast metastore.Version) (State, metastore.Version, error) {
	object, err := persist.Retry(ctx, func() (metastore.Object, error) {
		return persist.GetAtLeast(ctx, o.o.Store, Key(r.VM), atLeast)
	})
	var state State
	if err != nil || object.Version == 0 {
		return state, 0, err
	}
	if err := json.Unmarshal(object.Value, &state); err != nil {
		return state, 0, fmt.Errorf("decode drain %s: %w", object.Key, err)
	}
	return state, object.Version, nil
}

func (o *Registry) newAuditRecord(r Request, action audit.Action) audit.Record {
	return audit.Record{
		ID:          o.o.NewID(),
		Time:        o.o.Now(),
		Environment: r.Environment,
		Actor:       r.Actor,
		Action:      action,
		Subject:     string(r.VM),
		Reason:      r.Reason,
	}
}
