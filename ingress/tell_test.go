package ingress

import (
	"context"
	"testing"
	"time"

	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore/memstore"
	"github.com/laureltally/laureltally/quarantine"
	"github.com/laureltally/laureltally/quarantine/findingstore"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

// newTellingServer returns a router whose only sidecar serves with h, and its store.
func newTellingServer(t *testing.T, h transport.HandlerFunc) (*Server, *memstore.Store) {
	t.Helper()
	store := memstore.New(memstore.Options{})
	s, err := New(Options{Settings: completeSettings(4*time.Second, 5*time.Second), Store: store})
	if err != nil {
		t.Fatal(err)
	}
	l := linkTo(t, h)
	l.vm = &fleet.VM{Address: "10.0.0.1:80", Region: "r"}
	s.links[l.vm.Address] = l
	go s.sharedFindings.writer.Run(t.Context())
	return s, store
}

var testCrash = quarantine.News{Crashes: []quarantine.Crash{{
	Server: fleet.ServerStart{Address: "10.0.0.2:80", Started: 1}, At: time.Now(), Traits: []ident.Trait{ident.TraitOfRequest(9)},
}}}

// storedCrashes returns how many crashes are stored after a wait of up to limit for one.
func storedCrashes(t *testing.T, store *memstore.Store, limit time.Duration) int {
	t.Helper()
	for end := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
		crashes, _, err := findingstore.LoadCrashes(t.Context(), store, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		if len(crashes) > 0 || time.Now().After(end) {
			return len(crashes)
		}
	}
}

// News that are written to the connection of a sidecar which has ended reach nobody.
func TestNewsThatNoSidecarConfirmsAreStored(t *testing.T) {
	s, store := newTellingServer(t, func(ctx context.Context, _ wire.Hello, _ wire.Message, _ *transport.Stream) { <-ctx.Done() })
	s.tellOrShare("key", testCrash)
	if n := storedCrashes(t, store, recordTimeout+5*time.Second); n != 1 {
		t.Errorf("%d crashes are stored", n)
	}
	if !s.sidecarsUncertain() {
		t.Error("the sidecars are still relied on")
	}
}

// Each call to the store counts.
func TestNewsThatASidecarConfirmsAreNotStored(t *testing.T) {
	s, store := newTellingServer(t, func(_ context.Context, _ wire.Hello, _ wire.Message, stream *transport.Stream) {
		_ = stream.CloseSend()
	})
	s.tellOrShare("key", testCrash)
	if n := storedCrashes(t, store, recordTimeout+time.Second); n != 0 {
		t.Errorf("%d crashes are stored", n)
	}
}

// A sidecar that confirms may end before it has told anybody, as others have just done.
func TestNewsAreStoredWhileSidecarsRestart(t *testing.T) {
	s, store := newTellingServer(t, func(_ context.Context, _ wire.Hello, _ wire.Message, stream *transport.Stream) {
		_ = stream.CloseSend()
	})
	s.observeSidecarLost()
	s.tellOrShare("key", testCrash)
	if n := storedCrashes(t, store, 5*time.Second); n != 1 {
		t.Errorf("%d crashes are stored", n)
	}
}

// A sidecar that has restarted knows nothing of what this router has found before.
func TestSidecarThatConnectsIsToldOfCrashes(t *testing.T) {
	s, _ := newTellingServer(t, func(_ context.Context, _ wire.Hello, _ wire.Message, stream *transport.Stream) {
		_ = stream.CloseSend()
	})
	s.serverCrashed(testCrash.Crashes[0])
	told := make(chan *wire.CrashFindings, 1)
	conn := linkTo(t, func(_ context.Context, _ wire.Hello, m wire.Message, stream *transport.Stream) {
		told <- m.(*wire.CrashFindings)
		_ = stream.CloseSend()
	}).conn.Load()
	s.tellKnown(conn, time.Now())
	select {
	case f := <-told:
		if len(f.Crashes) != 1 || f.Crashes[0].Traits[0] != ident.TraitOfRequest(9) {
			t.Errorf("told %+v", f)
		}
	case <-time.After(5 * time.Second):
		t.Error("nothing was told")
	}
}
