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

// keepEnded is how long the object of an ended order is kept.
const keepEnded = 24 * time.Hour

// Registry gives and ends drain orders. It is safe for concurrent use, also by
// several processes.
type Registry struct{ o Options }

// New returns the orders of a store.
func New(o Options) *Registry {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.NewID == nil {
		o.NewID = rand.Text
	}
	if o.Patience == 0 {
		o.Patience = DefaultPatience
	}
	return &Registry{o: o}
}

// Begin orders a VM to drain. An order that is there already is an
// *AlreadyError. The audit record is part of the order and copied from there; if
// only the copy failed, the order stands and Repair makes up for it.
func (o *Registry) Begin(ctx context.Context, r Request) error {
	ctx, cancel := context.WithTimeout(ctx, o.o.Patience)
	defer cancel()
	before, version, err := o.read(ctx, r, 0)
	if err != nil {
		return fmt.Errorf("begin drain: %w", err)
	}
	if version != 0 && !before.Ended {
		return &AlreadyError{VM: r.VM, Actor: before.Actor, Time: before.Time}
	}
	if err := o.copy(ctx, before); err != nil {
		return err
	}
	order := Order{VM: r.VM, Environment: r.Environment, Actor: r.Actor, Reason: r.Reason, Time: o.o.Now()}
	order.Records = []audit.Record{o.record(r, audit.ActionDrain)}
	if _, err := o.put(ctx, order, version); err != nil {
		return o.already(ctx, r, err)
	}
	return o.copy(ctx, order)
}

// already names the operator whose order was faster.
func (o *Registry) already(ctx context.Context, r Request, err error) error {
	var conflict *metastore.ConflictError
	if !errors.As(err, &conflict) {
		return fmt.Errorf("begin drain: %w", err)
	}
	current, _, err := o.read(ctx, r, conflict.Actual)
	if err != nil {
		return fmt.Errorf("begin drain: %w", err)
	}
	return &AlreadyError{VM: r.VM, Actor: current.Actor, Time: current.Time}
}

// End ends the order of a VM. No order is a *NotDrainingError, and one that
// another operator changed meanwhile a *metastore.ConflictError.
func (o *Registry) End(ctx context.Context, r Request) error {
	ctx, cancel := context.WithTimeout(ctx, o.o.Patience)
	defer cancel()
	order, version, err := o.read(ctx, r, 0)
	if err != nil {
		return fmt.Errorf("end drain: %w", err)
	}
	if version == 0 || order.Ended {
		return &NotDrainingError{VM: r.VM}
	}
	order.Ended, order.EndTime = true, o.o.Now()
	order.Records = append(order.Records, o.record(r, audit.ActionUndrain))
	if _, err := o.put(ctx, order, version); err != nil {
		return fmt.Errorf("end drain: %w", err)
	}
	return o.copy(ctx, order)
}

// Repair copies the audit records that a crash left behind and deletes orders
// that ended long ago.
func (o *Registry) Repair(ctx context.Context) error {
	objects, _, err := o.o.Store.List(ctx, Prefix)
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
	var order Order
	if err := json.Unmarshal(object.Value, &order); err != nil {
		return fmt.Errorf("drain %s: %w", object.Key, err)
	}
	if err := o.copy(ctx, order); err != nil {
		return err
	}
	if !order.Ended || o.o.Now().Sub(order.EndTime) < keepEnded {
		return nil
	}
	if err := o.o.Store.Delete(ctx, object.Key, object.Version); err != nil {
		return fmt.Errorf("delete ended drain: %w", err)
	}
	return nil
}

// copy stores the audit records of an order on their own.
func (o *Registry) copy(ctx context.Context, order Order) error {
	for _, r := range order.Records {
		_, err := persist.Retry(ctx, func() (struct{}, error) { return struct{}{}, audit.Write(ctx, o.o.Store, r) })
		if err != nil {
			return err
		}
	}
	return nil
}

func (o *Registry) put(ctx context.Context, order Order, expect metastore.Version) (metastore.Version, error) {
	value, err := json.Marshal(order)
	if err != nil {
		return 0, fmt.Errorf("encode drain: %w", err)
	}
	return persist.Put(ctx, o.o.Store, Key(order.VM), value, expect)
}

func (o *Registry) read(ctx context.Context, r Request, atLeast metastore.Version) (Order, metastore.Version, error) {
	object, err := persist.Retry(ctx, func() (metastore.Object, error) {
		return persist.GetAtLeast(ctx, o.o.Store, Key(r.VM), atLeast)
	})
	var order Order
	if err != nil || object.Version == 0 {
		return order, 0, err
	}
	if err := json.Unmarshal(object.Value, &order); err != nil {
		return order, 0, fmt.Errorf("drain %s: %w", object.Key, err)
	}
	return order, object.Version, nil
}

func (o *Registry) record(r Request, action audit.Action) audit.Record {
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
