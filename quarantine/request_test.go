package quarantine

import (
	"testing"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// request returns the trait of a request.
func request(n uint64) ident.Trait { return ident.TraitOfRequest(n) }

func expectHeldFor(t *testing.T, d *Detector, now time.Time, trait ident.Trait, least, most time.Duration) {
	t.Helper()
	if _, remaining := d.Held(now, parts(1, trait)); remaining < least || remaining > most {
		t.Errorf("%v held for %v, want %v to %v", trait, remaining, least, most)
	}
}

// The parts of its prompt go along with the request each time.
func TestRequestThatComesAgainIsQuarantined(t *testing.T) {
	d := NewDetector(at(0), Options{})
	bad := request(9)
	expectHeld(t, observe(d, crash(1000, "a", 1, 2, bad), crash(1600, "b", 1, 2, bad, request(3)), crash(2200, "c", 1, 2, bad)), bad)
	expectHeldFor(t, d, at(3000), bad, DefaultHoldTime/2, DefaultHoldTime)
	expectHeldFor(t, d, at(3000), request(3), 0, 0)
	if _, remaining := d.Held(at(3000), parts(1, 2)); remaining > 0 {
		t.Error("a part of its prompt is held")
	}
	// Crashes that it explains say nothing about its parts.
	expectHeld(t, observe(d, crash(3000, "d", 1, 2, bad), crash(4000, "e", 1, 2, bad), crash(5000, "f", 1, 2, bad)))
}

// Servers crash within moments of each other, as after a loss of power; when they are back, the
// request crashes one again.
func TestRequestAtCrashesCloseTogetherIsHeldForAMoment(t *testing.T) {
	d := NewDetector(at(0), Options{})
	bad := request(9)
	expectHeld(t, observe(d, crash(1000, "a", bad), crash(1050, "b", bad), crash(1100, "c", bad)), bad)
	expectHeldFor(t, d, at(1500), bad, time.Second, DefaultTentativeTime)
	expectHeldFor(t, d, at(6000), bad, 0, 0)
	expectHeld(t, observe(d, crash(6000, "d", bad)), bad)
	expectHeldFor(t, d, at(7000), bad, DefaultHoldTime/2, DefaultHoldTime)
}

// A popular request ran everywhere when all servers lost power.
func TestSoundRequestIsNotHeldAfterALossOfPower(t *testing.T) {
	popular := request(5)
	all := []Crash{crash(1000, "a", popular), crash(1010, "b", popular), crash(1020, "c", popular), crash(1030, "d", popular)}
	knows := NewDetector(at(0), Options{})
	knows.ObserveSound(Sound{Trait: popular, BegunAt: at(500)})
	expectHeld(t, observe(knows, all...))
	started := NewDetector(at(900), Options{})
	expectHeld(t, observe(started, all...), popular)
	for _, h := range started.Holds(at(1300)) {
		if knows.ObserveHold(at(1300), h) {
			t.Error("a router that knows it as sound holds it")
		}
	}
	// The first sound answer, by a router that lets it through, ends the other's quarantine.
	news := knows.ObserveAnswer(at(1500), parts(popular), at(1400))
	if len(news) != 1 {
		t.Fatalf("told %v", news)
	}
	started.ObserveSound(news[0])
	expectHeldFor(t, started, at(1500), popular, 0, 0)
	expectHeld(t, observe(started, crash(2000, "e", popular)))
}

// Another request happened to run at all three servers.
func TestBystanderIsHeldForAMomentOnly(t *testing.T) {
	d := NewDetector(at(0), Options{})
	bad, bystander := request(9), request(4)
	held := observe(d, crash(1000, "a", bad, bystander), crash(2000, "b", bystander, bad), crash(3000, "c", bad, bystander))
	if len(held) != 2 {
		t.Fatalf("held %v", held)
	}
	expectHeldFor(t, d, at(3300), bystander, time.Second, DefaultTentativeTime)
	expectHeld(t, observe(d, crash(7000, "d", bad)), bad)
	expectHeldFor(t, d, at(7500), bad, DefaultHoldTime/2, DefaultHoldTime)
	expectHeldFor(t, d, at(7500), bystander, 0, 0)
}

// Crashes for other reasons while a request is answered in between.
func TestRequestAnsweredBetweenCrashesIsNotQuarantined(t *testing.T) {
	d := NewDetector(at(0), Options{})
	for i := range 20 {
		expectHeld(t, observe(d, crash(1000+i*3000, string(rune('a'+i)), request(5))))
		d.ObserveSound(Sound{Trait: request(5), BegunAt: at(2000 + i*3000)})
	}
}

// Each request with part 9 comes twice.
func TestPartUnderDifferentRequestsIsQuarantined(t *testing.T) {
	d := NewDetector(at(0), Options{})
	held := observe(d,
		crash(1000, "a", 1, 9, request(1)), crash(2000, "b", 1, 9, request(1)), crash(3000, "c", 1, 9, request(1)),
		crash(4000, "d", 2, 9, request(2)), crash(5000, "e", 2, 9, request(3)))
	expectHeld(t, held, request(1), 9)
}

func TestRoutersLetHeldRequestsThroughOneAfterTheOther(t *testing.T) {
	first, second := StaggerOf("router-1"), StaggerOf("router-2")
	if first == second || first < 0 || max(first, second) >= maxStagger {
		t.Fatalf("staggers %v and %v", first, second)
	}
	h := Hold{Trait: request(9), At: at(1000), Until: at(5000)}
	for _, stagger := range []time.Duration{first, second} {
		d := NewDetector(at(0), Options{Stagger: stagger})
		d.ObserveHold(at(1000), h)
		if _, remaining := d.Held(at(4000), parts(request(9))); remaining != time.Second+stagger {
			t.Errorf("held for %v, want %v", remaining, time.Second+stagger)
		}
	}
}

func TestSuspicionEndsWithASoundAnswer(t *testing.T) {
	d := NewDetector(at(0), Options{})
	observe(d, crash(1000, "a", request(9), request(4)))
	d.ObserveSound(Sound{Trait: request(4), BegunAt: at(1500)})
	if !d.Suspected(request(9)) || d.Suspected(request(4)) || d.Suspected(request(1)) {
		t.Error("suspicions are wrong")
	}
}

// Each request is another one, as at a router that is busy.
func TestRecordsOfRequestsAreBoundedAndDoNotDriveOutParts(t *testing.T) {
	d := NewDetector(at(0), Options{})
	d.ObserveAnswer(at(1), parts(1), at(0))
	for i := range 5 * maxSoundRecords {
		d.ObserveAnswer(at(2), parts(request(uint64(i))), at(1))
	}
	if n := len(d.soundRequests.recent) + len(d.soundRequests.previous); n > 2*maxSoundRecords {
		t.Errorf("%d records", n)
	}
	if d.soundAt(1).IsZero() {
		t.Error("the part is forgotten")
	}
	for i := range 2 * maxCrashes {
		observe(d, crash(i, string(rune(i)), request(1), request(2)))
	}
	if len(d.crashes) > maxCrashes {
		t.Errorf("%d crashes", len(d.crashes))
	}
	d.forget(at(1e7))
	if len(d.crashes)+len(d.holds) != 0 {
		t.Errorf("%d crashes, %d holds are never forgotten", len(d.crashes), len(d.holds))
	}
}

// A router that had just started did not know of the quarantine.
func TestCrashDuringTentativeQuarantineConfirmsIt(t *testing.T) {
	d := NewDetector(at(0), Options{})
	bad := request(9)
	observe(d, crash(1000, "a", bad), crash(1050, "b", bad), crash(1100, "c", bad))
	// Of the same moment as the others.
	expectHeld(t, observe(d, crash(1300, "d", bad)))
	expectHeld(t, observe(d, crash(2000, "e", bad)), bad)
	expectHeldFor(t, d, at(3000), bad, DefaultHoldTime/2, DefaultHoldTime)
}

// A router that was paused hears late of what the others have decided for a moment.
func TestTentativeQuarantineEndsAtOneTimeForAll(t *testing.T) {
	d := NewDetector(at(0), Options{})
	bad := request(9)
	for i, engine := range []string{"a", "b", "c"} {
		d.ObserveCrash(at(9000), crash(1000+i*10, engine, bad))
	}
	expectHeldFor(t, d, at(9000), bad, 0, 0)
	expectHeld(t, observe(d, crash(9500, "d", bad)), bad)
	expectHeldFor(t, d, at(10000), bad, DefaultHoldTime/2, DefaultHoldTime)
}

// Each router that starts would let the request through again until it has met three crashes itself.
func TestCrashesFromBeforeTheStartHoldTheRequest(t *testing.T) {
	d := NewDetector(at(10000), Options{})
	bad, popular := request(9), request(5)
	for i, server := range []string{"a", "b", "c"} {
		d.ObserveCrash(at(10200), crash(7000+1000*i, server, popular, bad))
	}
	// Nobody knows yet whether they are sound.
	expectHeldFor(t, d, at(10300), bad, learnTime/2, learnTime)
	expectHeldFor(t, d, at(10300), popular, learnTime/2, learnTime)
	d.ObserveSound(Sound{Trait: popular, BegunAt: at(8500)})
	expectHeldFor(t, d, at(10600), popular, 0, 0)
	if held := d.Decide(d.DecideAt()); len(held) != 1 || held[0].Trait != bad {
		t.Errorf("quarantined %v", held)
	}
	expectHeldFor(t, d, at(12000), bad, DefaultHoldTime/2, DefaultHoldTime)
	expectHeldFor(t, d, at(12000), popular, 0, 0)
}

// An answer that is sound before its router hears of the crash is no news at the time, but it is
// to routers that start later.
func TestAnswerBeforeTheNewsOfACrashIsTold(t *testing.T) {
	d := NewDetector(at(0), Options{})
	if told := d.ObserveAnswer(at(2200), parts(1, 2), at(2100)); len(told) > 0 {
		t.Fatalf("told %v", told)
	}
	c := crash(2000, "a", 1, 3)
	if told := d.SoundSince(c); len(told) != 1 || told[0] != (Sound{Trait: 1, BegunAt: at(2100)}) {
		t.Errorf("told %v", told)
	}
	if d.Knows(c.Server) {
		t.Error("the crash is known before it is observed")
	}
}

// A power supply would not fail twice under the same request only.
func TestCrashesAtTwoSeparateMomentsProveARequest(t *testing.T) {
	bad := request(9)
	for _, all := range [][]Crash{
		{crash(1000, "a", bad), crash(2000, "b", bad), crash(2100, "c", bad)},
		{crash(1000, "a", bad), crash(1100, "b", bad), crash(2000, "c", bad)},
	} {
		d := NewDetector(at(0), Options{})
		expectHeld(t, observe(d, all...), bad)
		expectHeldFor(t, d, at(2500), bad, DefaultHoldTime/2, DefaultHoldTime)
	}
}

// Two callers repeat one request each at the same pace. Both crash servers, or only one does.
func TestRequestsThatAlwaysRunTogetherAreLetThroughOneAfterTheOther(t *testing.T) {
	first, second := request(4), request(9)
	together := func() *Detector {
		d := NewDetector(at(0), Options{})
		for i, server := range []string{"a", "b", "c"} {
			observe(d, crash(1000+1000*i, server, first, second))
		}
		expectHeldFor(t, d, at(3300), first, time.Second, DefaultTentativeTime)
		expectHeldFor(t, d, at(3300), second, DefaultTentativeTime+maxStagger, 2*DefaultTentativeTime+maxStagger)
		return d
	}
	both := together()
	expectHeld(t, observe(both, crash(7000, "d", first)), first)
	expectHeldFor(t, both, at(7500), first, DefaultHoldTime/2, DefaultHoldTime)
	expectHeldFor(t, both, at(13500), second, 0, 0)
	expectHeld(t, observe(both, crash(14000, "e", second)), second)
	expectHeldFor(t, both, at(15000), second, DefaultHoldTime/2, DefaultHoldTime)

	one := together()
	one.ObserveSound(Sound{Trait: first, BegunAt: at(7000)})
	expectHeldFor(t, one, at(7100), first, 0, 0)
	expectHeld(t, observe(one, crash(14000, "d", first, second)), second)
	expectHeldFor(t, one, at(15000), second, DefaultHoldTime/2, DefaultHoldTime)
	expectHeldFor(t, one, at(15000), first, 0, 0)
}

// Five servers would end before anything is done.
func TestRequestThatWasSoundBeforeIsHeldAfterThreeCrashes(t *testing.T) {
	d := NewDetector(at(0), Options{})
	bad := request(9)
	d.ObserveSound(Sound{Trait: bad, BegunAt: at(500)})
	expectHeld(t, observe(d, crash(1000, "a", bad), crash(2000, "b", bad), crash(3000, "c", bad)), bad)
	expectHeldFor(t, d, at(3300), bad, time.Second, DefaultTentativeTime)
	expectHeld(t, observe(d, crash(7000, "d", bad)), bad)
	expectHeldFor(t, d, at(8000), bad, DefaultHoldTime/2, DefaultHoldTime)
}
