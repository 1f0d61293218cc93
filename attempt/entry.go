package attempt

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// entry is one attempt in the table.
type entry struct {
	name    ident.Attempt
	id      ID
	state   State
	endedAt time.Time
}
