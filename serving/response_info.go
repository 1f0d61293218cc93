package serving

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// ResponseInfo is the content of the header of an upstream's response.
type ResponseInfo struct {
	// RequestID is the id of the request that the response belongs to.
	RequestID string
	// VM is the id of the VM that responds, or empty if it does not say.
	VM ident.VM
	// Sealed is set when the response carries the upstream's seal, which attests the
	// body.
	Sealed bool
	// NotExecuted is set when the upstream states that it has not run the request and
	// will not run it.
	NotExecuted bool
	// WrongVM is set when the address belongs to a different VM than the one
	// addressed, or when the VM has not loaded the requested model.
	WrongVM bool
	// Leaving is set when the upstream is about to stop and accepts no new requests.
	Leaving bool
	// Pause is how long the upstream wants no requests from this VM, or zero.
	Pause time.Duration
	// MalformedPause is the text of a pause that can't be read, or empty.
	MalformedPause string
	// RequestLimit is the limit on requests that the upstream names.
	RequestLimit RequestLimit
	// MalformedRequestLimit is the text of a limit that can't be read, or empty.
	MalformedRequestLimit string
	// ContentEncoded is set when the body has a content encoding, and so is not as
	// the upstream produced it.
	ContentEncoded bool
	// Load is the load that the upstream reports, if HasLoad is set.
	Load    Load
	HasLoad bool
	// MalformedSlowness is the text of a slowness that can't be read or is implausible, or
	// empty.
	MalformedSlowness string
}
