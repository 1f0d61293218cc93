package drain

import (
	"encoding/json"
	"time"

	"github.com/laureltally/laureltally/audit"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// KeyPrefix is the prefix of the keys of all drains.
const KeyPrefix = "drains/"

// State is the stored state of a drain.
type State struct {
	VM          ident.VM          `json:"vm"`
	Environment ident.Environment `json:"environment"`
	Actor       string            `json:"actor"`
	Reason      string            `json:"reason,omitempty"`
	Time        time.Time         `json:"time"`
	// Ended is set when the VM may get work again. The object is kept for a
	// while: if it were deleted at once, a delayed write of the drain would find
	// no object and take effect again.
	Ended bool `json:"ended,omitempty"`
	// EndTime is when the drain ended.
	EndTime time.Time `json:"end_time,omitzero"`
	// AuditRecords are the audit records of this drain.
	AuditRecords []audit.Record `json:"records"`
}

// Key returns the key of a VM's drain.
func Key(vm ident.VM) string { return KeyPrefix + string(vm) }

// Active reports whether a VM is draining after a change of its object. A value
// that cannot be decoded counts as draining.
func Active(e metastore.Event) bool {
	var state State
	return !e.Deleted && (json.Unmarshal(e.Object.Value, &state) != nil || !state.Ended)
}
