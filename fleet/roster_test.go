package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/laureltally/laureltally/ident"
)

var start = time.Unix(1000, 0)

func vm(id ident.VM, started int64, leaving bool) VM {
	return VM{ID: id, Service: "s", Address: "10.0.0.1:80", Started: started, Leaving: leaving}
}

func kinds(changes []Change) []ChangeKind {
	var out []ChangeKind
	for _, c := range changes {
		out = append(out, c.Kind)
	}
	slices.Sort(out)
	return out
}

func TestRosterChanges(t *testing.T) {
	r := NewTracker(Options{})
	now := start
	for i, step := range []struct {
		listed []VM
		want   []ChangeKind
	}{
		{[]VM{vm("a", 1, false), vm("b", 1, false)}, []ChangeKind{Joined, Joined}},
		{[]VM{vm("a", 1, false), vm("b", 1, false)}, nil},
		{[]VM{vm("a", 2, false), vm("b", 1, true)}, []ChangeKind{Leaving, Restarted}},
		{[]VM{vm("b", 1, true)}, []ChangeKind{Removed}},
		{nil, []ChangeKind{Removed}},
	} {
		now = now.Add(time.Second)
		if got := kinds(r.Update(now, step.listed)); !slices.Equal(got, step.want) {
			t.Errorf("step %d: got %v, want %v", i, got, step.want)
		}
	}
}

// Registrations expire while the store is away. Those that are back within the
// grace were never gone; the others are gone after it.
func TestOutageKeepsVMsForTheGrace(t *testing.T) {
	r := NewTracker(Options{})
	r.Update(start, []VM{vm("a", 1, false), vm("b", 1, false)})
	back := start.Add(10 * time.Second)
	if got := r.Update(back, nil); len(got) != 0 {
		t.Fatalf("at the return: %v", kinds(got))
	}
	if got := r.Update(back.Add(time.Second), []VM{vm("a", 1, false)}); len(got) != 0 {
		t.Fatalf("within the grace: %v", kinds(got))
	}
	if got := kinds(r.Update(back.Add(DefaultReturnGrace), []VM{vm("a", 1, false)})); !slices.Equal(got, []ChangeKind{Removed}) {
		t.Errorf("after the grace: %v", got)
	}
	if r.Get("a") == nil || r.Get("b") != nil {
		t.Error("the wrong one is gone")
	}
}

// A VM that says it leaves is believed at once, also just after an outage.
func TestLeavingIsBelievedWithinTheGrace(t *testing.T) {
	r := NewTracker(Options{})
	r.Update(start, []VM{vm("a", 1, false)})
	if got := kinds(r.Update(start.Add(10*time.Second), []VM{vm("a", 1, true)})); !slices.Equal(got, []ChangeKind{Leaving}) {
		t.Errorf("got %v", got)
	}
}
