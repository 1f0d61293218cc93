package findingstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/quarantine"
)

// holdPrefix begins the keys of quarantines; the trait follows in hexadecimal.
const holdPrefix = "quarantine/"

// holdRecord is a stored quarantine. Times are in Unix milliseconds.
type holdRecord struct {
	AtMS    int64 `json:"at_ms"`
	UntilMS int64 `json:"until_ms"`
}

// SaveHold writes a quarantine, unless the store has about the same. A conflict with another
// writer is no error: it writes the same quarantine.
func SaveHold(ctx context.Context, s metastore.Store, h quarantine.Hold) error {
	key := holdPrefix + h.Trait.String()
	value, err := json.Marshal(holdRecord{AtMS: h.At.UnixMilli(), UntilMS: h.Until.UnixMilli()})
	if err != nil {
		return fmt.Errorf("encode quarantine: %w", err)
	}
	version := metastore.Version(0)
	current, err := s.Get(ctx, key)
	var missing *metastore.NotFoundError
	switch {
	case err == nil:
		known, err := decodeHold(current)
		if err == nil && !h.Outlasts(known) {
			return nil
		}
		version = current.Version
	case !errors.As(err, &missing):
		return fmt.Errorf("read quarantine: %w", err)
	}
	_, err = s.Put(ctx, key, value, version)
	var conflict *metastore.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		return fmt.Errorf("write quarantine: %w", err)
	}
	return nil
}

// DeleteHold deletes the stored quarantine of a trait, if there is one.
func DeleteHold(ctx context.Context, s metastore.Store, t ident.Trait) error {
	o, err := s.Get(ctx, holdPrefix+t.String())
	var missing *metastore.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	if err == nil {
		err = s.Delete(ctx, o.Key, o.Version)
	}
	if err != nil {
		return fmt.Errorf("delete quarantine: %w", err)
	}
	return nil
}

// LoadHolds returns the stored quarantines in force, and deletes those that have ended long ago.
// Skipped holds the errors of malformed records and failed deletions.
func LoadHolds(ctx context.Context, s metastore.Store, now time.Time) (holds []quarantine.Hold, skipped []error, err error) {
	objects, _, err := s.List(ctx, holdPrefix)
	if err != nil {
		return nil, nil, fmt.Errorf("list quarantines: %w", err)
	}
	for _, o := range objects {
		h, err := decodeHold(o)
		switch {
		case err != nil:
			skipped = append(skipped, err)
		case now.Before(h.Until):
			holds = append(holds, h)
		case now.Sub(h.Until) > quarantine.DefaultHoldTime:
			if err := s.Delete(ctx, o.Key, o.Version); err != nil {
				skipped = append(skipped, fmt.Errorf("delete old quarantine: %w", err))
			}
		}
	}
	return holds, skipped, nil
}

func decodeHold(o metastore.Object) (quarantine.Hold, error) {
	id, err := strconv.ParseUint(strings.TrimPrefix(o.Key, holdPrefix), 16, 64)
	if err != nil {
		return quarantine.Hold{}, fmt.Errorf("key of quarantine %q: %w", o.Key, err)
	}
	var r holdRecord
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return quarantine.Hold{}, fmt.Errorf("decode quarantine %q: %w", o.Key, err)
	}
	return quarantine.Hold{Trait: ident.Trait(id), At: time.UnixMilli(r.AtMS), Until: time.UnixMilli(r.UntilMS)}, nil
}
