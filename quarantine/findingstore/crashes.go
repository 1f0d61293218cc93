package findingstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/quarantine"
)

const (
	// crashPrefix begins the keys of crashes; a hash of the server's start follows.
	crashPrefix = "crash/"
	// saveAttempts bounds the attempts to write a crash that others write too.
	saveAttempts = 3
)

// crashRecord is a stored crash. Times are in Unix milliseconds.
type crashRecord struct {
	Address string        `json:"address"`
	Started int64         `json:"started"`
	AtMS    int64         `json:"at_ms"`
	Traits  []ident.Trait `json:"traits"`
}

// SaveCrash writes a crash. If it is stored, the traits that are missing there are added.
func SaveCrash(ctx context.Context, s metastore.Store, c quarantine.Crash) error {
	var (
		conflict *metastore.ConflictError
		err      error
	)
	for range saveAttempts {
		if err = saveCrash(ctx, s, c); !errors.As(err, &conflict) {
			return err
		}
	}
	return err
}

func saveCrash(ctx context.Context, s metastore.Store, c quarantine.Crash) error {
	key := crashPrefix + strconv.FormatUint(xxhash.Sum64String(fmt.Sprint(c.Server.Address, " ", c.Server.Started)), 16)
	version := metastore.Version(0)
	current, err := s.Get(ctx, key)
	var missing *metastore.NotFoundError
	switch {
	case err == nil:
		version = current.Version
		if known, err := decodeCrash(current); err == nil && known.Server == c.Server {
			if !known.Merge(c.Traits) {
				return nil
			}
			c = known
		}
	case !errors.As(err, &missing):
		return fmt.Errorf("read crash: %w", err)
	}
	value, err := json.Marshal(crashRecord{Address: c.Server.Address, Started: c.Server.Started, AtMS: c.At.UnixMilli(), Traits: c.Traits})
	if err != nil {
		return fmt.Errorf("encode crash: %w", err)
	}
	if _, err = s.Put(ctx, key, value, version); err != nil {
		return fmt.Errorf("write crash: %w", err)
	}
	return nil
}

// LoadCrashes returns the stored crashes of the last minute, as sidecars pass them on: what was
// sound since is remembered no longer. It deletes those that no longer count. Skipped
// holds the errors of malformed records and failed deletions.
func LoadCrashes(ctx context.Context, s metastore.Store, now time.Time) (crashes []quarantine.Crash, skipped []error, err error) {
	objects, _, err := s.List(ctx, crashPrefix)
	if err != nil {
		return nil, nil, fmt.Errorf("list crashes: %w", err)
	}
	for _, o := range objects {
		c, err := decodeCrash(o)
		switch {
		case err != nil:
			skipped = append(skipped, err)
		case now.Sub(c.At) <= quarantine.NewsTTL:
			crashes = append(crashes, c)
		case now.Sub(c.At) > quarantine.DefaultMemory:
			if err := s.Delete(ctx, o.Key, o.Version); err != nil {
				skipped = append(skipped, fmt.Errorf("delete old crash: %w", err))
			}
		}
	}
	return crashes, skipped, nil
}

func decodeCrash(o metastore.Object) (quarantine.Crash, error) {
	var r crashRecord
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return quarantine.Crash{}, fmt.Errorf("decode crash %q: %w", o.Key, err)
	}
	return quarantine.Crash{Server: fleet.ServerStart{Address: r.Address, Started: r.Started}, At: time.UnixMilli(r.AtMS), Traits: r.Traits}, nil
}
