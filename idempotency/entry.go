package idempotency

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// entry is one stored claim. Field numbers never change their meaning.
type entry struct {
	Key         digest            `cbor:"1,keyasint"`
	Fingerprint []byte            `cbor:"2,keyasint,omitempty"`
	Attempt     ident.Attempt     `cbor:"3,keyasint,omitempty"`
	VM          ident.VM          `cbor:"4,keyasint,omitempty"`
	Incarnation ident.Incarnation `cbor:"5,keyasint,omitempty"`
	// Claimed is when the key was first claimed, in Unix seconds.
	Claimed int64 `cbor:"6,keyasint"`
	Phase   phase `cbor:"7,keyasint"`
}

func (e entry) target() Target { return Target{VM: e.VM, Incarnation: e.Incarnation} }

func (e entry) age(now time.Time) time.Duration { return now.Sub(time.Unix(e.Claimed, 0)) }

// expired returns what is left of an entry after its window.
func (e entry) expired() entry { return entry{Key: e.Key, Claimed: e.Claimed, Phase: phaseExpired} }
