package allocation

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// Allocation is the set of slots of one model. A VM has at most one slot of it.
type Allocation struct {
	// DocumentVersion is the version of the document that last changed Limit. A
	// planner that holds a lower version leaves the grant alone.
	DocumentVersion metastore.Version `json:"document"`
	// Limit is the decided number of replicas. More slots than that remain only
	// while those of an earlier, higher limit are being revoked.
	Limit int `json:"limit"`
	// LastFence is the highest fence given out for the model.
	LastFence ident.Fence `json:"last_fence"`
	Slots     []Slot      `json:"slots"`
	// Writer names the write that produced this value, so that a writer whose
	// answer was lost can recognise its own.
	Writer string `json:"writer"`
}

// Encode returns the stored form of g.
func (g Allocation) Encode() ([]byte, error) {
	b, err := json.Marshal(g)
	if err != nil {
		return nil, fmt.Errorf("encode grant: %w", err)
	}
	return b, nil
}

// Decode reads the stored form of a grant, or fails with *DecodeError.
func Decode(key string, b []byte) (Allocation, error) {
	var g Allocation
	if err := json.Unmarshal(b, &g); err != nil {
		return Allocation{}, &DecodeError{Key: key, Err: err}
	}
	return g, nil
}

// Slot returns the slot of vm, if there is one.
func (g Allocation) Slot(vm ident.VM) (Slot, bool) {
	i := g.index(vm)
	if i < 0 {
		return Slot{}, false
	}
	return g.Slots[i], true
}

func (g Allocation) index(vm ident.VM) int {
	return slices.IndexFunc(g.Slots, func(s Slot) bool { return s.VM == vm })
}

func (g Allocation) clone() Allocation {
	g.Slots = slices.Clone(g.Slots)
	return g
}

func (g Allocation) count(state SlotState) int {
	n := 0
	for _, s := range g.Slots {
		if s.State == state {
			n++
		}
	}
	return n
}
