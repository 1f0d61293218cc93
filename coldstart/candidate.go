package coldstart

import (
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
