package drain

import (
	"encoding/json"
	"time"

	"github.com/laureltally/laureltally/audit"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// Prefix is that of the keys of all orders.
const Prefix = "drains/"

// Order is the stored value of a drain.
type Order struct {
	VM          ident.VM          `json:"vm"`
	Environment ident.Environment `json:"environment"`
	Actor       string            `json:"actor"`
	Reason      string            `json:"reason,omitempty"`
	Time        time.Time         `json:"time"`
	// Ended tells that the VM may take work again. The object is kept for a
	// while: were it deleted at once, a write of the order that lands late would
	// find no object and take effect again.
	Ended bool `json:"ended,omitempty"`
	// EndTime is when the order ended.
	EndTime time.Time `json:"end_time,omitzero"`
	// Records are the audit records of this order.
	Records []audit.Record `json:"records"`
}

// Key returns the key of a VM's order.
func Key(vm ident.VM) string { return Prefix + string(vm) }

// Active tells whether a change of an order leaves its VM draining. A value that
// can't be read counts as an order.
func Active(e metastore.Event) bool {
	var order Order
	return !e.Deleted && (json.Unmarshal(e.Object.Value, &order) != nil || !order.Ended)
}
