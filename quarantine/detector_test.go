package quarantine

import (
	"testing"
	"time"

	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
)

func crash(ms int, engine string, p ...ident.Trait) Crash {
	return Crash{Server: fleet.ServerStart{Address: engine, Started: 1}, At: at(ms), Traits: p}
}

// observe passes crashes to a detector and returns the parts that it quarantines.
func observe(d *Detector, all ...Crash) []ident.Trait {
	var held []ident.Trait
	for _, c := range all {
		for _, h := range d.ObserveCrash(c.At.Add(settleTime), c) {
			held = append(held, h.Trait)
		}
	}
	return held
}

func expectHeld(t *testing.T, got []ident.Trait, want ...ident.Trait) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("quarantined %v, want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("quarantined %v, want %v", got, want)
		}
	}
}

// All requests with part 9 begin with part 1 or 2, as sound ones do.
func TestPartThatExplainsCrashesIsQuarantined(t *testing.T) {
	d := NewDetector(at(0), Options{})
	expectHeld(t, observe(d,
		crash(1000, "a", 1, 9), crash(2000, "b", 1, 5, 9, 2), crash(3000, "c", 2, 9)), 9)
	h, remaining := d.Held(at(4000), parts(2, 9))
	if h.Trait != 9 || remaining < DefaultHoldTime/2 || remaining != h.Until.Sub(at(4000)) {
		t.Errorf("held for %v %+v", remaining, h)
	}
	if _, remaining := d.Held(at(4000), parts(1, 5)); remaining > 0 {
		t.Error("a sound part is held")
	}
	// Further crashes that it explains say nothing about other parts.
	expectHeld(t, observe(d, crash(5000, "d", 1, 9), crash(6000, "e", 1, 9), crash(7000, "f", 1, 9)))
}

// Nothing is known to be sound yet, and each request with part 9 begins with part 1.
func TestPartThatGoesAlongIsNotQuarantined(t *testing.T) {
	d := NewDetector(at(0), Options{})
	expectHeld(t, observe(d, crash(1000, "a", 1, 9), crash(2000, "b", 1, 9), crash(3000, "c", 1, 9), crash(4000, "d", 1, 9)))
	expectHeld(t, observe(d, crash(5000, "e", 1, 9)), 9)
}

// The first part crashes engines whatever follows it.
func TestFirstPartIsQuarantined(t *testing.T) {
	d := NewDetector(at(0), Options{})
	expectHeld(t, observe(d, crash(1000, "a", 1, 5), crash(2000, "b", 1, 6), crash(3000, "c", 1, 7)), 1)
}

func TestSoundPartIsNotQuarantined(t *testing.T) {
	d := NewDetector(at(0), Options{})
	observe(d, crash(1000, "a", 1), crash(2000, "b", 1))
	d.ObserveSound(Sound{Trait: 1, BegunAt: at(2500)})
	expectHeld(t, observe(d, crash(3000, "c", 1), crash(4000, "d", 1), crash(5000, "e", 1), crash(6000, "f", 1)))
	expectHeld(t, observe(d, crash(7000, "g", 1)), 1)
}

// An answer that began before the part became bad proves nothing.
func TestAnswerFromBeforeTheCrashesProvesNothing(t *testing.T) {
	d := NewDetector(at(0), Options{})
	observe(d, crash(1000, "a", 1), crash(2000, "b", 1))
	d.ObserveSound(Sound{Trait: 1, BegunAt: at(500)})
	expectHeld(t, observe(d, crash(3000, "c", 1), crash(4000, "d", 1), crash(5000, "e", 1)), 1)
	d.ObserveSound(Sound{Trait: 1, BegunAt: at(2900)})
	if _, remaining := d.Held(at(6000), parts(1)); remaining == 0 {
		t.Error("an answer from before the quarantine ended it")
	}
}

// A request was under way when its part was quarantined, and is answered.
func TestSoundAnswerEndsQuarantine(t *testing.T) {
	d := NewDetector(at(0), Options{})
	observe(d, crash(1000, "a", 1), crash(2000, "b", 1), crash(3000, "c", 1))
	d.ObserveSound(Sound{Trait: 1, BegunAt: at(3500)})
	if _, remaining := d.Held(at(4000), parts(1)); remaining > 0 {
		t.Error("still held")
	}
	if d.ObserveHold(at(4000), Hold{Trait: 1, At: at(3250), Until: at(100000)}) {
		t.Error("an older quarantine of another router is taken over")
	}
	if !d.ObserveHold(at(5000), Hold{Trait: 1, At: at(4900), Until: at(100000)}) {
		t.Error("a newer quarantine is not taken over")
	}
}

// All engines lose power together while popular parts are being answered everywhere.
func TestEnginesThatEndTogetherCountOnce(t *testing.T) {
	d := NewDetector(at(0), Options{})
	expectHeld(t, observe(d, crash(1000, "a", 1, 2), crash(1050, "b", 1, 3), crash(1200, "c", 1, 2), crash(1400, "d", 1, 3)))
}

// A router and a sidecar report the same crash.
func TestCrashReportedTwiceCountsOnce(t *testing.T) {
	d := NewDetector(at(0), Options{})
	expectHeld(t, observe(d, crash(1000, "a", 1), crash(1700, "a", 1, 2), crash(2400, "a", 1, 3), crash(3000, "b", 1)))
	expectHeld(t, observe(d, crash(4000, "c", 1)), 1)
}

// A router that has just started has seen no sound answers, and sidecars tell of them and of
// crashes in any order. Parts 2 and 3 were sound, each after some of the crashes.
func TestCrashesFromBeforeTheStartWaitForSoundAnswers(t *testing.T) {
	d := NewDetector(at(10000), Options{})
	for i, engine := range []string{"a", "b", "c"} {
		if held := d.ObserveCrash(at(10100), crash(7000+1000*i, engine, 1, 2, 3)); len(held) > 0 {
			t.Fatalf("quarantined %v before anything could speak for it", held)
		}
	}
	d.ObserveSound(Sound{Trait: 2, BegunAt: at(9500)})
	d.ObserveSound(Sound{Trait: 3, BegunAt: at(7500)})
	if want := at(10100).Add(learnTime); !d.DecideAt().Equal(want) {
		t.Fatalf("decides at %v, want %v", d.DecideAt(), want)
	}
	held := d.Decide(d.DecideAt())
	if len(held) != 1 || held[0].Trait != 1 {
		t.Errorf("quarantined %v, want 1", held)
	}
}

// Sidecars forget what was sound after a minute.
func TestCrashesLongBeforeTheStartDontCount(t *testing.T) {
	d := NewDetector(at(70000), Options{})
	for i, engine := range []string{"a", "b", "c"} {
		d.ObserveCrash(at(70100), crash(7000+1000*i, engine, 1))
	}
	if held := d.Decide(at(72000)); len(held) > 0 {
		t.Errorf("quarantined %v", held)
	}
}

func TestQuarantineEndsAndOneCrashRenewsIt(t *testing.T) {
	d := NewDetector(at(0), Options{HoldTime: time.Minute})
	observe(d, crash(1000, "a", 1), crash(2000, "b", 1), crash(3000, "c", 1))
	if _, remaining := d.Held(at(64000), parts(1)); remaining > 0 {
		t.Fatal("held after its time")
	}
	expectHeld(t, observe(d, crash(65000, "d", 2, 1)), 1)
	if _, remaining := d.Held(at(66000), parts(1)); remaining == 0 {
		t.Error("not held again")
	}
	if len(d.Holds(at(66000))) != 1 || len(d.Holds(at(500000))) != 0 || len(d.holds) != 0 {
		t.Errorf("holds are kept: %v", d.holds)
	}
}

func TestDetectorIsBounded(t *testing.T) {
	d := NewDetector(at(0), Options{})
	for i := range 3000 {
		p := ident.Trait(i)
		observe(d, crash(1000+i*20, string(rune(i)), p, p+1, p+2))
		d.ObserveSound(Sound{Trait: p, BegunAt: at(i)})
		d.ObserveHold(at(1000+i*20), Hold{Trait: p, At: at(1000 + i*20), Until: at(1e6 + i)})
	}
	if len(d.crashes) > maxCrashes || len(d.holds) > maxHolds || len(d.soundParts.recent)+len(d.soundParts.previous) > 2*maxSoundRecords {
		t.Errorf("%d crashes, %d holds, %d sound", len(d.crashes), len(d.holds), len(d.soundParts.recent))
	}
	d.forget(at(1e7))
	if len(d.crashes)+len(d.holds) != 0 {
		t.Errorf("%d crashes, %d holds are never forgotten", len(d.crashes), len(d.holds))
	}
}

// Engines crash minutes apart, and other parts are answered in between.
func TestRareBadPartIsQuarantined(t *testing.T) {
	d := NewDetector(at(0), Options{})
	minute := int(time.Minute / time.Millisecond)
	for i := range 3 {
		held := observe(d, crash(i*4*minute, string(rune('a'+i)), 1, 9))
		if i == 2 {
			expectHeld(t, held, 9)
			break
		}
		expectHeld(t, held)
		d.ObserveSound(Sound{Trait: 1, BegunAt: at(i*4*minute + 1000)})
	}
}
