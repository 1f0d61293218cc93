package replica

import (
	"fmt"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// NoMemoryError reports that the engine does not have enough memory for a load,
// even if everything idle that may be evicted is unloaded. The request was not
// run.
type NoMemoryError struct {
	Model      ident.Model
	Adapter    ident.Adapter
	NeedMB     int64
	FreeMB     int64
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoMemoryError) Error() string {
	return fmt.Sprintf("load model %s adapter %q: needs %d MiB, %d MiB free", e.Model, e.Adapter, e.NeedMB, e.FreeMB)
}
