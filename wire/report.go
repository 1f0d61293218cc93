package wire

import (
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// Report is the status that a process reports. Of two reports of the same
// incarnation, the one with the higher Seq is newer. Routers send reports too,
// with only the fields that apply to them.
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
	// Configs is the version of the document in use for each environment.
	Configs map[ident.Environment]metastore.Version `cbor:"10,keyasint,omitempty"`
	Models  []ModelReport                           `cbor:"11,keyasint,omitempty"`
	// FreeMB is the accelerator memory that is neither used nor reserved, in MiB.
	FreeMB  int64 `cbor:"12,keyasint,omitempty"`
	Running int   `cbor:"13,keyasint,omitempty"`
	Waiting int   `cbor:"14,keyasint,omitempty"`
	// Concurrency is the current limit of requests that the upstream runs at once.
	Concurrency int `cbor:"15,keyasint,omitempty"`
	// PrefixHashes lists the hashes of prompt prefixes that are probably cached. It
	// is a hint only.
	PrefixHashes []uint64 `cbor:"16,keyasint,omitempty"`
	// Started is the start time of the incarnation by its VM's own clock, in Unix
	// milliseconds. It orders the incarnations of one VM.
	Started int64 `cbor:"17,keyasint,omitempty"`
	// BaseSeqs, if not empty, makes the report a delta that can be applied to any
	// report whose Seq is listed. A delta omits the fields that are fixed for an
	// incarnation and the models that are unchanged since all of those reports. A
	// model without phase, tier and fence is no longer reported.
	BaseSeqs []uint64 `cbor:"18,keyasint,omitempty"`
	// WaitingByPriority is the number of waiting requests of each priority, the
	// most urgent first. Empty means that only Waiting is known.
	WaitingByPriority []int `cbor:"19,keyasint,omitempty"`
	// RunTime is the average duration of a request from its start. Zero means that
	// none has finished yet.
	RunTime time.Duration `cbor:"20,keyasint,omitempty"`
	// SwapWait is the expected time until a load of locally cached weights could
	// start; RemoteLoadWait is the same for a load from the weight store.
	SwapWait       time.Duration `cbor:"21,keyasint,omitempty"`
	RemoteLoadWait time.Duration `cbor:"22,keyasint,omitempty"`
	// ModelsDelta is set if Models lists only the changes since the previous report
	// on the same stream, as returned by DiffModels.
	ModelsDelta bool `cbor:"23,keyasint,omitempty"`
	// MaxReportInterval is the maximum time until the next report, or zero if unknown.
	MaxReportInterval time.Duration `cbor:"24,keyasint,omitempty"`
	// Routers is the number of routers connected to the reporting process.
	Routers int `cbor:"25,keyasint,omitempty"`
}

// Kind implements Message.
func (*Report) Kind() Kind { return KindReport }
