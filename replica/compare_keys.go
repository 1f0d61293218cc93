package replica

import (
	"cmp"

	"github.com/laureltally/laureltally/memory"
)

// compareKeys orders reservations by model and adapter name.
func compareKeys(a, b memory.Key) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
}
