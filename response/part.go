package response

import "github.com/laureltally/laureltally/wire"

// Part is what one frame adds to an answer. At most one field is set; none is
// when the frame brought nothing new.
type Part struct {
	Head *wire.Head
	Data []byte
	// Complete is set by the End of a complete answer.
	Complete bool
	Abort    *wire.Abort
	Refusal  *wire.Refusal
}
