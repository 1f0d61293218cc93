package wire

import (
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// Report is what a process says of itself. Of two reports of the same
// incarnation the one with the higher Seq is newer. Routers send reports too,
// with the fields that concern them.
type Report struct {
	VM          ident.VM          `cbor:"1,keyasint"`
	Incarnation ident.Incarnation `cbor:"2,keyasint"`
	Seq         uint64            `cbor:"3,keyasint"`
	Role        metastore.Role    `cbor:"4,keyasint"`
	Region      ident.Region      `cbor:"5,keyasint"`
	Zone        ident.Zone        `cbor:"6,keyasint"`
	Upstream    ident.Upstream    `cbor:"7,keyasint,omitempty"`
	Address     string            `cbor:"8,keyasint"`
	Draining    bool              `cbor:"9,keyasint,omitempty"`
	// Configs gives the version of each environment's document in force.
	Configs map[ident.Environment]metastore.Version `cbor:"10,keyasint,omitempty"`
	Models  []ModelReport                           `cbor:"11,keyasint,omitempty"`
	// FreeMB is the accelerator memory that the ledger could still reserve.
	FreeMB  int64 `cbor:"12,keyasint,omitempty"`
	Running int   `cbor:"13,keyasint,omitempty"`
	Waiting int   `cbor:"14,keyasint,omitempty"`
	// Concurrency is how many requests the upstream takes at once now.
	Concurrency int `cbor:"15,keyasint,omitempty"`
	// PrefixHashes lists prompt prefixes that are probably cached, a hint.
	PrefixHashes []uint64 `cbor:"16,keyasint,omitempty"`
	// Started is when the incarnation started by its VM's own clock, in Unix
	// milliseconds. It orders the incarnations of one VM.
	Started int64 `cbor:"17,keyasint,omitempty"`
	// BaseSeqs makes the report a delta: it leaves out what is fixed for an
	// incarnation and the models that are as they were in each of the states
	// with these numbers, and can be laid over any of them. A model with
	// neither phase nor tier nor fence is one that is no longer reported.
	BaseSeqs []uint64 `cbor:"18,keyasint,omitempty"`
	// WaitingByPriority counts the waiting requests of each priority, the most
	// urgent first. Empty means that only Waiting is known.
	WaitingByPriority []int `cbor:"19,keyasint,omitempty"`
	// RunTime is how long a request takes on average once it has started. Zero
	// means that none has finished yet.
	RunTime time.Duration `cbor:"20,keyasint,omitempty"`
	// SwapWait is how long it would take before a load of weights that are at hand
	// could begin; RemoteLoadWait is the same for a load from the weight store.
	SwapWait       time.Duration `cbor:"21,keyasint,omitempty"`
	RemoteLoadWait time.Duration `cbor:"22,keyasint,omitempty"`
	// ModelsDelta stands for the models of the last report on the same stream, of
	// which Models lists the changes, as ModelChanges makes them.
	ModelsDelta bool `cbor:"23,keyasint,omitempty"`
	// MaxReportInterval is the longest time until the next report, or zero if the sender
	// does not say.
	MaxReportInterval time.Duration `cbor:"24,keyasint,omitempty"`
}

// Kind implements Message.
func (*Report) Kind() Kind { return KindReport }
