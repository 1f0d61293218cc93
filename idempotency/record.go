package idempotency

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// record is one stored idempotency record. The meaning of a field number never
// changes.
type record struct {
	Key         digest            `cbor:"1,keyasint"`
	Fingerprint []byte            `cbor:"2,keyasint,omitempty"`
	Attempt     ident.Attempt     `cbor:"3,keyasint,omitempty"`
	VM          ident.VM          `cbor:"4,keyasint,omitempty"`
	Incarnation ident.Incarnation `cbor:"5,keyasint,omitempty"`
	// Claimed is when the key was first claimed, in Unix seconds.
	Claimed int64 `cbor:"6,keyasint"`
	Phase   phase `cbor:"7,keyasint"`
}

func (r record) target() Target { return Target{VM: r.VM, Incarnation: r.Incarnation} }

func (r record) age(now time.Time) time.Duration { return now.Sub(time.Unix(r.Claimed, 0)) }

// withoutAttempt returns the part of a record that is kept after its window.
func (r record) withoutAttempt() record {
	return record{Key: r.Key, Claimed: r.Claimed, Phase: phaseExpired}
}
