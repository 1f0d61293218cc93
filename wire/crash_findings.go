package wire

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// CrashFindings tells what was found about requests that crash servers. A sidecar
// sends it to routers among its reports, if their Subscribe asks for it; a router sends it
// to a sidecar, which closes the stream once it has taken it, and passes it on to all routers. Times
// are ages, since clocks differ.
type CrashFindings struct {
	Crashes     []ServerCrash      `cbor:"1,keyasint,omitempty"`
	Sound       []SoundTrait       `cbor:"2,keyasint,omitempty"`
	Quarantined []QuarantinedTrait `cbor:"3,keyasint,omitempty"`
}

// ServerCrash is the unplanned end of a server under running requests.
type ServerCrash struct {
	// Address and Started, in Unix milliseconds, identify one start of the server.
	Address string        `cbor:"1,keyasint"`
	Started int64         `cbor:"2,keyasint"`
	Age     time.Duration `cbor:"3,keyasint,omitempty"`
	// Traits lists those of the requests that may have caused it.
	Traits []ident.Trait `cbor:"4,keyasint,omitempty"`
}

// SoundTrait is a trait of a request that a server has answered without a crash.
type SoundTrait struct {
	Trait ident.Trait `cbor:"1,keyasint"`
	// Age is the time since the answer began.
	Age time.Duration `cbor:"2,keyasint,omitempty"`
}

// QuarantinedTrait is a trait whose requests are refused.
type QuarantinedTrait struct {
	Trait ident.Trait `cbor:"1,keyasint"`
	// Age is the time since it was quarantined, and Remaining the time until the
	// quarantine ends.
	Age       time.Duration `cbor:"2,keyasint,omitempty"`
	Remaining time.Duration `cbor:"3,keyasint,omitempty"`
}

// Kind implements Message.
func (*CrashFindings) Kind() Kind { return KindCrashFindings }
