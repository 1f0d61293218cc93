package audit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/laureltally/laureltally/metastore"
)

// Read returns the records that match q, oldest first.
func Read(ctx context.Context, s metastore.Store, q Query) ([]Record, error) {
	objects, _, err := s.List(ctx, rangePrefix(q.Environment, q.From, q.To))
	if err != nil {
		return nil, fmt.Errorf("read audit records: %w", err)
	}
	var records []Record
	for _, o := range objects {
		var r Record
		if err := json.Unmarshal(o.Value, &r); err != nil {
			return nil, fmt.Errorf("decode audit record %s: %w", o.Key, err)
		}
		if q.matches(r) {
			records = append(records, r)
		}
	}
	return records, nil
}

// Exists reports whether a record is stored.
func Exists(ctx context.Context, s metastore.Store, r Record) (bool, error) {
	_, err := s.Get(ctx, Key(r))
	var missing *metastore.NotFoundError
	switch {
	case err == nil:
		return true, nil
	case errors.As(err, &missing):
		return false, nil
	default:
		return false, fmt.Errorf("read audit record: %w", err)
	}
}
