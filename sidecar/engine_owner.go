package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

const (
	// ownerKeyPrefix is the prefix of the keys of engine owners in the store.
	ownerKeyPrefix = "holders/"
	// minAcquirePause and maxAcquirePause bound the pause between attempts to write the
	// record.
	minAcquirePause = 200 * time.Millisecond
	maxAcquirePause = time.Second
)

// owner is the stored record of the process that controls an engine.
type owner struct {
	VM ident.VM `json:"vm"`
	// Incarnation makes the value of each start unique, so that each write creates a
	// new revision.
	Incarnation ident.Incarnation `json:"incarnation"`
}

// ownership is the result of acquireOwnership.
type ownership struct {
	// fence is the fencing token of the process's orders.
	fence ident.Fence
	// replaced is the record that the process overwrote; empty if there was none.
	replaced owner
}

// acquireOwnership records this process as the owner of its engine. The version of the
// write is the fencing token of its orders: it is higher than that of any earlier
// start, independent of clocks and of restores of the store.
func acquireOwnership(ctx context.Context, s metastore.Store, engineAddress string, me owner) (ownership, error) {
	var o ownership
	key := ownerKey(engineAddress)
	err := retryStore(ctx, func() error {
		current, err := readOwner(ctx, s, key)
		if err != nil {
			return err
		}
		if current.owner == me {
			// An earlier write succeeded although its response was lost.
			o.fence = ident.Fence(current.version)
			return nil
		}
		if o.replaced == (owner{}) {
			o.replaced = current.owner
		}
		version, err := writeOwner(ctx, s, key, me, current.version)
		o.fence = ident.Fence(version)
		return err
	})
	return o, err
}

// restoreOwnership writes the record again after a restore of the store, whose copy may
// lack it or hold the one that this process replaced; without it, a process on another VM
// would not wait for the orders of this one.
func restoreOwnership(ctx context.Context, s metastore.Store, engineAddress string, me owner, o ownership) (state recordState, err error) {
	key := ownerKey(engineAddress)
	err = retryStore(ctx, func() error {
		current, err := readOwner(ctx, s, key)
		if err != nil {
			return err
		}
		switch current.owner {
		case me:
			state = recordKept
			return nil
		case owner{}, o.replaced:
			state = recordRewritten
			_, err := writeOwner(ctx, s, key, me, current.version)
			return err
		}
		state = recordSuperseded
		return nil
	})
	return state, err
}

// recordState is what a process found of its record after a restore. It is a log value.
type recordState string

const (
	recordKept      recordState = "kept"
	recordRewritten recordState = "rewritten"
	// recordSuperseded means that the engine has another owner by now, whose record is
	// newer than the copy.
	recordSuperseded recordState = "superseded"
)

func ownerKey(engineAddress string) string { return ownerKeyPrefix + addressName(engineAddress) }

// addressName returns an address as the name of an object in the store.
func addressName(address string) string {
	return strings.NewReplacer(":", "-", ".", "-").Replace(address)
}

// retryStore repeats an operation until it succeeds or ctx ends.
func retryStore(ctx context.Context, operation func() error) error {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minAcquirePause, maxAcquirePause
	_, err := backoff.Retry(ctx, func() (struct{}, error) { return struct{}{}, operation() }, backoff.WithBackOff(b), backoff.WithMaxElapsedTime(0))
	return err
}

func writeOwner(ctx context.Context, s metastore.Store, key string, me owner, expect metastore.Version) (metastore.Version, error) {
	value, err := json.Marshal(me)
	if err != nil {
		return 0, fmt.Errorf("encode engine owner: %w", err)
	}
	return s.Put(ctx, key, value, expect)
}

// storedOwner is an owner as read from the store, with its version.
type storedOwner struct {
	owner   owner
	version metastore.Version
}

// readOwner reads a record. A missing record has version zero. An undecodable one is
// returned as an empty owner with its version, so that it is overwritten.
func readOwner(ctx context.Context, s metastore.Store, key string) (storedOwner, error) {
	o, err := s.Get(ctx, key)
	var missing *metastore.NotFoundError
	if errors.As(err, &missing) {
		return storedOwner{}, nil
	}
	if err != nil {
		return storedOwner{}, err
	}
	r := storedOwner{version: o.Version}
	if json.Unmarshal(o.Value, &r.owner) != nil {
		r.owner = owner{}
	}
	return r, nil
}
