package response

import "github.com/laureltally/laureltally/wire"

// Part is what one frame adds to a response. At most one field is set; none is
// if the frame was received before.
type Part struct {
	Head *wire.Head
	Data []byte
	// Complete is set by the End of a complete response.
	Complete bool
	Abort    *wire.Abort
	Refusal  *wire.Refusal
}
