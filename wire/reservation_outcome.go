package wire

import "time"

// ReservationOutcome reports the outcome of a request that held a reservation.
type ReservationOutcome struct {
	// TimeToFirstEvent is the time from sending the request to its first event, or zero
	// if there was none.
	TimeToFirstEvent time.Duration `cbor:"1,keyasint,omitempty"`
	// LongestEventGap is the longest pause between two events.
	LongestEventGap time.Duration `cbor:"2,keyasint,omitempty"`
	// Duration is the time to the end of a complete response, or zero.
	Duration time.Duration `cbor:"3,keyasint,omitempty"`
	// NotLoaded is set if the upstream replied that the model is not loaded.
	NotLoaded bool `cbor:"4,keyasint,omitempty"`
	// NotRun is set if the upstream has not run the request.
	NotRun bool `cbor:"5,keyasint,omitempty"`
	// Streamed is the time between the first and the last event.
	Streamed time.Duration `cbor:"6,keyasint,omitempty"`
}

// Kind implements Message.
func (*ReservationOutcome) Kind() Kind { return KindReservationOutcome }
