package replica

import (
	"fmt"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// NoMemoryError reports that the engine has no room and nothing idle to evict.
// The request has not run.
type NoMemoryError struct {
	Model      ident.Model
	Adapter    ident.Adapter
	NeedMB     int64
	FreeMB     int64
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoMemoryError) Error() string {
	return fmt.Sprintf("model %s adapter %q needs %d MiB, %d MiB free", e.Model, e.Adapter, e.NeedMB, e.FreeMB)
}
