package standin

import "time"

// pendingVMChange is a change that becomes visible at visibleAt.
type pendingVMChange struct {
	change    VMChange
	visibleAt time.Time
}
