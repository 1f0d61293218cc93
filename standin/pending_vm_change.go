package standin

import "time"

// pendingVMChange is a change that is not seen yet.
type pendingVMChange struct {
	change VMChange
	at     time.Time
}
