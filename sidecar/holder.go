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
	// holdersPrefix is where the store keeps which process orders which engine.
	holdersPrefix = "holders/"
	// claimPause bounds the pause between tries to write the record.
	claimPause    = 200 * time.Millisecond
	maxClaimPause = time.Second
)

// holder is the record of the process that orders an engine.
type holder struct {
	VM ident.VM `json:"vm"`
	// Incarnation makes each start write something new, so that the record gets a
	// new revision.
	Incarnation ident.Incarnation `json:"incarnation"`
}

// claim writes this process into the record of its engine. The revision of the
// write is the fence of its orders: it is higher than that of any earlier start,
// whatever the clocks say. Previous is the VM that was recorded before.
func claim(ctx context.Context, s metastore.Store, engineAddress string, me holder) (fence ident.Fence, previous ident.VM, err error) {
	key := holdersPrefix + strings.NewReplacer(":", "-", ".", "-").Replace(engineAddress)
	value, err := json.Marshal(me)
	if err != nil {
		return 0, "", fmt.Errorf("encode holder: %w", err)
	}
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = claimPause, maxClaimPause
	_, err = backoff.Retry(ctx, func() (struct{}, error) {
		present, read := readHolder(ctx, s, key)
		if read != nil {
			return struct{}{}, read
		}
		if present.holder == me {
			// An earlier try was carried out although its answer was lost.
			fence = ident.Fence(present.version)
			return struct{}{}, nil
		}
		if previous == "" {
			previous = present.holder.VM
		}
		version, write := s.Put(ctx, key, value, present.version)
		fence = ident.Fence(version)
		return struct{}{}, write
	}, backoff.WithBackOff(b), backoff.WithMaxElapsedTime(0))
	return fence, previous, err
}

// recorded is a holder as it was read.
type recorded struct {
	holder  holder
	version metastore.Version
}

// readHolder reads a record. A missing one has version zero; one that makes no
// sense is overwritten.
func readHolder(ctx context.Context, s metastore.Store, key string) (recorded, error) {
	o, err := s.Get(ctx, key)
	var missing *metastore.NotFoundError
	if errors.As(err, &missing) {
		return recorded{}, nil
	}
	if err != nil {
		return recorded{}, err
	}
	r := recorded{version: o.Version}
	if json.Unmarshal(o.Value, &r.holder) != nil {
		r.holder = holder{}
	}
	return r, nil
}
