package allocation

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// Allocation is the set of slots of one model. A VM has at most one of them.
type Allocation struct {
	// DocumentVersion is the version of the configuration document that last
	// changed Limit. A planner with a lower version leaves the allocation
	// unchanged.
	DocumentVersion metastore.Version `json:"document"`
	// Limit is the configured number of replicas. There are more slots than
	// that only while those of an earlier, higher limit are being revoked.
	Limit int `json:"limit"`
	// LastFence is the highest fencing token issued for the model.
	LastFence ident.Fence `json:"last_fence"`
	Slots     []Slot      `json:"slots"`
	// Writer identifies the write that produced this value, so that a writer
	// which received no response can recognize its own write.
	Writer string `json:"writer"`
}

// Encode returns the stored form of a.
func (a Allocation) Encode() ([]byte, error) {
	b, err := json.Marshal(a)
	if err != nil {
		return nil, fmt.Errorf("encode allocation: %w", err)
	}
	return b, nil
}

// Decode decodes the stored form of an allocation. It fails with *DecodeError.
func Decode(key string, b []byte) (Allocation, error) {
	var a Allocation
	if err := json.Unmarshal(b, &a); err != nil {
		return Allocation{}, &DecodeError{Key: key, Err: err}
	}
	return a, nil
}

// Slot returns the slot of vm and whether there is one.
func (a Allocation) Slot(vm ident.VM) (Slot, bool) {
	i := a.index(vm)
	if i < 0 {
		return Slot{}, false
	}
	return a.Slots[i], true
}

func (a Allocation) index(vm ident.VM) int {
	return slices.IndexFunc(a.Slots, func(s Slot) bool { return s.VM == vm })
}

func (a Allocation) clone() Allocation {
	a.Slots = slices.Clone(a.Slots)
	return a
}

func (a Allocation) count(state SlotState) int {
	n := 0
	for _, s := range a.Slots {
		if s.State == state {
			n++
		}
	}
	return n
}
