package audit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/laureltally/laureltally/metastore"
)

// Write stores a record. It is idempotent: an existing record is not changed.
func Write(ctx context.Context, s metastore.Store, r Record) error {
	value, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode audit record: %w", err)
	}
	_, err = s.Put(ctx, Key(r), value, 0)
	var conflict *metastore.ConflictError
	if err == nil || errors.As(err, &conflict) {
		return nil
	}
	return fmt.Errorf("write audit record: %w", err)
}
