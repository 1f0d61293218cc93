package coldstart

import (
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// Candidate is the last reported state of one model on one VM. It may be
// several seconds old.
type Candidate struct {
	VM     ident.VM
	Region ident.Region
	Zone   ident.Zone
	// Tier is where the weights are cached. Empty means TierRemote.
	Tier engine.Tier
	// PreviousTier is the tier before TierSince, by the VM's clock. A zero
	// TierSince means that no recent change is known.
	PreviousTier engine.Tier
	TierSince    time.Time
	// Phase is empty while the model is not in the engine.
	Phase engine.Phase
	// FreeMB is the accelerator memory that can be reserved without unloading
	// another model, in MiB.
	FreeMB int64
	// Running and Waiting count the requests for the model on the VM.
	Running, Waiting int
	// Concurrency is how many requests the replica serves at once.
	Concurrency int
	// Reachable is false if the VM does not respond or is draining.
	Reachable bool
}

// settledTier returns the tier at the time now-ago. Routers whose reports are
// younger than ago compute the same tier.
func (c Candidate) settledTier(now time.Time, ago time.Duration) engine.Tier {
	if !c.TierSince.IsZero() && now.Sub(c.TierSince) < ago {
		return c.PreviousTier
	}
	return c.Tier
}
