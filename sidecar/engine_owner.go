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

// acquireOwnership records this process as the owner of its engine. The revision of the
// write is the fencing token of its orders: it is higher than that of any earlier
// start, independent of clocks. previous is the VM that was recorded before.
func acquireOwnership(ctx context.Context, s metastore.Store, engineAddress string, me owner) (fence ident.Fence, previous ident.VM, err error) {
	key := ownerKeyPrefix + strings.NewReplacer(":", "-", ".", "-").Replace(engineAddress)
	value, err := json.Marshal(me)
	if err != nil {
		return 0, "", fmt.Errorf("encode engine owner: %w", err)
	}
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minAcquirePause, maxAcquirePause
	_, err = backoff.Retry(ctx, func() (struct{}, error) {
		current, readErr := readOwner(ctx, s, key)
		if readErr != nil {
			return struct{}{}, readErr
		}
		if current.owner == me {
			// An earlier write succeeded although its response was lost.
			fence = ident.Fence(current.version)
			return struct{}{}, nil
		}
		if previous == "" {
			previous = current.owner.VM
		}
		version, writeErr := s.Put(ctx, key, value, current.version)
		fence = ident.Fence(version)
		return struct{}{}, writeErr
	}, backoff.WithBackOff(b), backoff.WithMaxElapsedTime(0))
	return fence, previous, err
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
