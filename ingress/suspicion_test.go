package ingress

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/placement"
	"github.com/laureltally/laureltally/quarantine"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/upstreamhttp"
	"github.com/laureltally/laureltally/wire"
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

// The sidecar of an engine has restarted, and the engine ends under a request that ran before.
func TestCrashUnderAReservationOfARestartedSidecarIsNoticed(t *testing.T) {
	s, _ := newTellingServer(t, func(_ context.Context, _ wire.Hello, _ wire.Message, stream *transport.Stream) {
		_ = stream.CloseSend()
	})
	ended, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	vm := &fleet.VM{ID: "i-1", Service: "models", Address: ended.Addr().String(), Zone: "z", Region: "r", Concurrency: 1, Started: 1}
	_ = ended.Close()
	if err := s.applyVMs(t.Context(), s.epoch, fleet.Listing{VMs: []fleet.VM{*vm}}); err != nil {
		t.Fatal(err)
	}
	crashed := func() bool {
		s.quarantine.mu.Lock()
		defer s.quarantine.mu.Unlock()
		return s.quarantine.detector.Knows(vm.ServerStart())
	}
	for _, restarted := range []bool{false, true} {
		s.sharedFindings.gapUntil.Store(0)
		if restarted {
			s.observeSidecarLost()
		}
		d := &delivery{s: s, traits: []ident.Trait{ident.TraitOfRequest(9)}, choice: placement.Choice{VM: vm}}
		d.observeLostConnection(result{kind: outcomeBroken, err: &upstreamhttp.ConnectionError{Err: io.ErrUnexpectedEOF}}, true)
		for end := time.Now().Add(5 * time.Second); restarted && !crashed() && time.Now().Before(end); {
			time.Sleep(5 * time.Millisecond)
		}
		if !restarted {
			time.Sleep(5 * crashCheckDelay)
		}
		if crashed() != restarted {
			t.Errorf("sidecar restarted %v, crash noticed %v", restarted, crashed())
		}
	}
}
