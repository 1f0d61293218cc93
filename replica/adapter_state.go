package replica

import "time"

// adapterState is the state of one loaded adapter.
type adapterState struct{ lastUsed time.Time }
