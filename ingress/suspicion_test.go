package ingress

import (
	"fmt"
	"testing"
	"time"

	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/quarantine"
)

// A server that fails each second request fails the one that crashes the others too, and what
// speaks against it must not be forgotten.
func TestFailureOfAServerDoesNotShowThatARequestIsSound(t *testing.T) {
	for _, tt := range []struct {
		kind outcome
		held bool
	}{{outcomeFailedResponse, true}, {outcomeBroken, true}, {outcomeTimedOut, true}, {outcomeDelivered, false}} {
		s, err := New(Options{Settings: completeSettings(4*time.Second, 5*time.Second)})
		if err != nil {
			t.Fatal(err)
		}
		traits := []ident.Trait{ident.TraitOfRequest(9)}
		crash := func(n int, at time.Time) {
			s.observeNews(at, quarantine.News{Crashes: []quarantine.Crash{{Server: fleet.ServerStart{Address: fmt.Sprint("10.0.0.", n, ":80"), Started: 1}, At: at, Traits: traits}}})
		}
		now := s.epoch
		crash(1, now.Add(time.Second))
		crash(2, now.Add(2*time.Second))
		d := &delivery{s: s, traits: traits}
		d.observeAnswer(result{kind: tt.kind, timeToFirstEvent: time.Millisecond}, now.Add(2500*time.Millisecond))
		crash(3, now.Add(3*time.Second))
		if _, remaining := s.quarantine.detector.Held(now.Add(3*time.Second), traits); (remaining > 0) != tt.held {
			t.Errorf("after %q held for %v", tt.kind, remaining)
		}
	}
}
