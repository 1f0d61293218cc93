package response

import "github.com/laureltally/laureltally/wire"

// Part is what one frame adds to a response. At most one field is set, beside Unmarked; none is
// if the frame was received before.
type Part struct {
	Head *wire.Head
	Data []byte
	// Complete is set by the End of a complete response.
	Complete bool
	// Unmarked is set beside Complete if the response may have been broken off.
	Unmarked bool
	Abort    *wire.Abort
	Refusal  *wire.Refusal
}
