package sidecar

import (
	"testing"
	"time"

	"github.com/laureltally/laureltally/residency"
	"github.com/laureltally/laureltally/wire"
)

// The scheduler gets all that a router reports of a request.
func TestOutcomeIsPassedOn(t *testing.T) {
	got := outcome(&wire.ReservationOutcome{TimeToFirstEvent: 1, LongestEventGap: 2, Duration: 3, NotLoaded: true, Slowness: 2.5})
	want := residency.Outcome{TimeToFirstEvent: 1, LongestEventGap: 2, Duration: 3 * time.Nanosecond, NotLoaded: true, Slowness: 2.5}
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
