package wire

import "time"

// LoadOutcome reports that a load from the weight store, for which a LoadPermit was
// granted, has ended. The requester sends it before it closes the stream; a stream that
// closes without it means that the permit was not used.
type LoadOutcome struct {
	// Took is the time from the engine's acceptance of the order to the loaded model.
	Took time.Duration `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*LoadOutcome) Kind() Kind { return KindLoadOutcome }
