package replica

import "time"

// adapterState is one loaded adapter.
type adapterState struct{ lastUsed time.Time }
