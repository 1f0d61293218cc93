package quarantine

import (
	"slices"
	"testing"
	"time"

	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func parts(ids ...ident.Trait) []ident.Trait { return ids }

// An engine crashes under request 4. Of the others one had been answered for long, one was
// complete, one was turned away, one has broken off for another reason before.
func TestCrashListsPartsOfRequestsThatMayHaveCausedIt(t *testing.T) {
	o := NewObserver("10.0.0.1:80")
	o.EngineUp(at(0), 7, false)
	for id, p := range [][]ident.Trait{parts(1, 10), parts(1, 11), parts(1, 12), parts(1, 13), parts(2, 14), parts(2, 15)} {
		o.RequestStarted(at(id), uint64(id), p)
	}
	o.RequestEnded(at(100), 5, Ending{})
	o.RequestEnded(at(1500), 1, Ending{Complete: true})
	o.RequestEnded(at(1500), 2, Ending{NotRun: true})
	o.EngineLost(at(2000))
	o.EngineLost(at(2100))
	o.RequestEnded(at(2050), 3, Ending{Streamed: 1500 * time.Millisecond})
	o.RequestEnded(at(2060), 4, Ending{})
	o.RequestStarted(at(2070), 6, parts(3, 16))
	if c := o.Crash(at(2100)); c != nil {
		t.Fatalf("crash before routers have told how far the answers got: %+v", c)
	}
	c := o.Crash(at(2300))
	want := parts(2, 14, 1, 10)
	if c == nil || c.Server != (fleet.ServerStart{Address: "10.0.0.1:80", Started: 7}) || !slices.Equal(c.Traits, want) {
		t.Fatalf("got %+v, want parts %v", c, want)
	}
	if c := o.Crash(at(2400)); c != nil {
		t.Errorf("the crash is returned twice: %+v", c)
	}
}

func TestRestartUnderNewStartTimeIsCrash(t *testing.T) {
	o := NewObserver("a")
	o.EngineUp(at(0), 7, false)
	o.RequestStarted(at(1), 1, parts(1))
	o.EngineUp(at(100), 8, false)
	if c := o.Crash(at(400)); c == nil || c.Server.Started != 7 || !slices.Equal(c.Traits, parts(1)) {
		t.Errorf("got %+v", c)
	}
}

func TestAnnouncedStopIsNoCrash(t *testing.T) {
	o := NewObserver("a")
	o.EngineUp(at(0), 7, true)
	o.RequestStarted(at(1), 1, parts(1))
	o.EngineLost(at(100))
	if c := o.Crash(at(400)); c != nil {
		t.Errorf("got %+v", c)
	}
}

func TestObserverIsBounded(t *testing.T) {
	o := NewObserver("a")
	o.EngineUp(at(0), 7, false)
	for id := range 5 * maxLostRuns {
		o.RequestStarted(at(1), uint64(id), parts(ident.Trait(id)))
		o.RequestEnded(at(2), uint64(id), Ending{})
	}
	o.EngineLost(at(3))
	if c := o.Crash(at(400)); len(o.lost) > maxLostRuns || len(o.runs) > 0 || len(c.Traits) > maxCrashTraits {
		t.Errorf("%d runs lost, %d kept, %d parts", len(o.lost), len(o.runs), len(c.Traits))
	}
}
