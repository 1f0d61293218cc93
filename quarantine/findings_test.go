package quarantine

import (
	"testing"

	"github.com/laureltally/laureltally/ident"
)

func TestFindingsAreToldOnce(t *testing.T) {
	var f Findings
	f.AddCrash(at(0), crash(0, "a", 1))
	seq := f.Seq()
	f.AddHold(at(10), Hold{Trait: 1, At: at(10), Until: at(60000)})
	n := f.Since(at(20), seq)
	if len(n.Crashes) != 0 || len(n.Holds) != 1 {
		t.Errorf("news: %+v", n)
	}
	if n := f.Since(at(20), f.Seq()); !n.Empty() {
		t.Errorf("told again: %+v", n)
	}
	if n := f.Since(at(20), 0); len(n.Crashes) != 1 || len(n.Holds) != 1 {
		t.Errorf("a new router is told %+v", n)
	}
	if f.AddCrash(at(30), crash(5, "a", 1)) || f.AddHold(at(30), Hold{Trait: 1, At: at(30), Until: at(60020)}) {
		t.Error("what is known is told again")
	}
	if !f.AddCrash(at(40), crash(5, "a", 2)) {
		t.Error("a further part is not told")
	}
	if c := f.Since(at(40), seq).Crashes; len(c) != 1 || len(c[0].Traits) != 2 || !c[0].At.Equal(at(0)) {
		t.Errorf("crash with a further part: %+v", c)
	}
}

func TestSoundPartEndsQuarantineThatIsPassedOn(t *testing.T) {
	var f Findings
	f.AddHold(at(10), Hold{Trait: 1, At: at(10), Until: at(60000)})
	f.AddSound(at(100), Sound{Trait: 1, BegunAt: at(5)})
	if n := f.Since(at(100), 0); len(n.Holds) != 1 {
		t.Error("an older answer ended the quarantine")
	}
	f.AddSound(at(2000), Sound{Trait: 1, BegunAt: at(1500)})
	if n := f.Since(at(2000), 0); len(n.Holds) != 0 || len(n.Sound) != 1 || f.Holds(1) {
		t.Errorf("news: %+v", n)
	}
	if f.AddHold(at(2100), Hold{Trait: 1, At: at(10), Until: at(60000)}) {
		t.Error("the quarantine comes back")
	}
}

func TestFindingsAreBoundedAndForgotten(t *testing.T) {
	var f Findings
	for i := range 4 * maxFindings {
		p := ident.Trait(i)
		f.AddCrash(at(i), crash(i, string(rune(i)), p))
		f.AddSound(at(i), Sound{Trait: p, BegunAt: at(i)})
		f.AddHold(at(i), Hold{Trait: p, At: at(i), Until: at(i + 1000000)})
	}
	if len(f.crashes) > maxFindings || len(f.sound) > maxFindings || len(f.holds) > maxFindings {
		t.Errorf("%d crashes, %d sound, %d holds", len(f.crashes), len(f.sound), len(f.holds))
	}
	if n := f.Since(at(1e8), 0); !n.Empty() {
		t.Errorf("never forgotten: %+v", n)
	}
}
