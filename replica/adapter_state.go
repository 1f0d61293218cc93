package replica

import "time"

// adapterState is one loaded adapter.
type adapterState struct {
	running  int
	lastUsed time.Time
}
