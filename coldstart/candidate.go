package coldstart

import (
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// Candidate is what a router knows of one model on one VM. It may be some
// seconds old.
type Candidate struct {
	VM     ident.VM
	Region ident.Region
	Zone   ident.Zone
	// Tier is where the weights are cached. Empty means TierRemote.
	Tier engine.Tier
	// PreviousTier is where they were before TierSince, by the clock of the VM.
	// A zero TierSince means that Tier has been the same for long.
	PreviousTier engine.Tier
	TierSince    time.Time
	// Phase is empty while the model is not in the engine.
	Phase engine.Phase
	// FreeMB is the accelerator memory that could be reserved at once.
	FreeMB int64
	// Running and Waiting count the requests for the model on the VM.
	Running, Waiting int
	// Concurrency is how many requests the replica serves at once.
	Concurrency int
	// Reachable is false if the VM does not answer or is leaving.
	Reachable bool
}

// settledTier returns the tier as it was some time ago. Routers that all know
// it agree, whatever the age of their reports.
func (c Candidate) settledTier(now time.Time, ago time.Duration) engine.Tier {
	if !c.TierSince.IsZero() && now.Sub(c.TierSince) < ago {
		return c.PreviousTier
	}
	return c.Tier
}
