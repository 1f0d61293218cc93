package attempt

import (
	"errors"
	"testing"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

const self = ident.Incarnation(7)

var start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

func TestNames(t *testing.T) {
	g := NewNameGenerator("router/1", 0xabc)
	for _, name := range []ident.Attempt{g.Unkeyed(), g.Unkeyed(), g.Keyed()} {
		id, err := Parse(name)
		if err != nil || id.Attempt() != name || id.Router != "router/1" || id.Incarnation != 0xabc {
			t.Fatalf("%q: %+v, %v", name, id, err)
		}
	}
	if g.Unkeyed() != "router/1/abc/p3" || g.Keyed() != "router/1/abc/k2" {
		t.Fatal("the sequences are not numbered separately")
	}
	for _, name := range []ident.Attempt{"", "a", "a/1", "1/p1", "a/1/x1", "a/1/p", "a/1/p0", "a/1/p01", "a/1/p-1", "a/g/p1", "a/01/p1", "a/1/p1/"} {
		var bad *NameError
		if _, err := Parse(name); !errors.As(err, &bad) {
			t.Errorf("Parse(%q) error = %v, want a *NameError", name, err)
		}
	}
}

func TestDispatch(t *testing.T) {
	const name = ident.Attempt("r/1/k1")
	tests := []struct {
		name        string
		before      func(*Table)
		incarnation ident.Incarnation
		accepted    bool
		code        wire.Code
		run         wire.RunState
	}{
		{"never seen", func(*Table) {}, self, true, "", ""},
		{"another incarnation", func(*Table) {}, self - 1, false, wire.CodeWrongIncarnation, wire.RunStateNotRun},
		{"queued", func(tb *Table) { tb.Dispatch(start, name, self) }, self, false, wire.CodeDuplicateAttempt, wire.RunStateUnknown},
		{"running", func(tb *Table) { run(tb, name) }, self, false, wire.CodeDuplicateAttempt, wire.RunStateUnknown},
		{"finished", func(tb *Table) { run(tb, name); tb.Finish(start, name) }, self, false, wire.CodeDuplicateAttempt, wire.RunStateUnknown},
		{"cut", func(tb *Table) { run(tb, name); tb.Abort(start, name) }, self, false, wire.CodeDuplicateAttempt, wire.RunStateUnknown},
		{"withdrawn", func(tb *Table) { tb.Dispatch(start, name, self); tb.Withdraw(start, name) }, self, false, wire.CodeTombstoned, wire.RunStateNotRun},
		{"unsent", func(tb *Table) { run(tb, name); tb.WithdrawUnsent(start, name) }, self, false, wire.CodeTombstoned, wire.RunStateNotRun},
		{"inquired", func(tb *Table) { tb.Inquire(start, name, self) }, self, false, wire.CodeTombstoned, wire.RunStateNotRun},
		{"canceled first", func(tb *Table) { tb.Cancel(start, name) }, self, false, wire.CodeTombstoned, wire.RunStateNotRun},
		{"forgotten", func(tb *Table) {
			tb.Inquire(start.Add(-2*DefaultRetention), "r/1/k2", self)
		}, self, false, wire.CodeUnknownAttempt, wire.RunStateUnknown},
		{"other sequence forgotten", func(tb *Table) {
			tb.Inquire(start.Add(-2*DefaultRetention), "r/1/p2", self)
		}, self, true, "", ""},
		{"other router forgotten", func(tb *Table) {
			tb.Inquire(start.Add(-2*DefaultRetention), "r/2/k2", self)
		}, self, true, "", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tb := NewTable(Options{Incarnation: self})
			test.before(tb)
			d := tb.Dispatch(start, name, test.incarnation)
			if d.Accepted != test.accepted || d.Refusal.Code != test.code || d.Refusal.Run != test.run {
				t.Fatalf("Dispatch = %+v", d)
			}
		})
	}
}

func run(tb *Table, name ident.Attempt) {
	tb.Dispatch(start, name, self)
	tb.Begin(name)
}

func TestRunningAttemptCannotBeWithdrawn(t *testing.T) {
	tb := NewTable(Options{Incarnation: self})
	run(tb, "r/1/p1")
	if tb.Withdraw(start, "r/1/p1") {
		t.Fatal("a running attempt was withdrawn as not run")
	}
	if tb.Cancel(start, "r/1/p1") != Running {
		t.Fatal("Cancel did not return Running for a running attempt")
	}
	tb.Finish(start, "r/1/p1")
	if tb.WithdrawUnsent(start, "r/1/p1") {
		t.Fatal("a finished attempt was withdrawn as not run")
	}
}

func TestInquire(t *testing.T) {
	const name = ident.Attempt("r/1/k1")
	tests := []struct {
		name        string
		before      func(*Table)
		incarnation ident.Incarnation
		want        wire.AttemptState
	}{
		{"never seen", func(*Table) {}, self, wire.AttemptNotRun},
		{"another incarnation", func(*Table) {}, self + 1, wire.AttemptUnknown},
		{"queued", func(tb *Table) { tb.Dispatch(start, name, self) }, self, wire.AttemptRunning},
		{"running", func(tb *Table) { run(tb, name) }, self, wire.AttemptRunning},
		{"finished", func(tb *Table) { run(tb, name); tb.Finish(start, name) }, self, wire.AttemptFinished},
		{"cut", func(tb *Table) { run(tb, name); tb.Abort(start, name) }, self, wire.AttemptFinished},
		{"withdrawn", func(tb *Table) { tb.Dispatch(start, name, self); tb.Withdraw(start, name) }, self, wire.AttemptNotRun},
		{"forgotten", func(tb *Table) { tb.Inquire(start.Add(-2*DefaultRetention), "r/1/k1", self) }, self, wire.AttemptUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tb := NewTable(Options{Incarnation: self})
			test.before(tb)
			if got := tb.Inquire(start, name, test.incarnation); got != test.want {
				t.Fatalf("Inquire = %q", got)
			}
		})
	}
}

func TestFullTable(t *testing.T) {
	tb := NewTable(Options{Incarnation: self, MaxEntries: 1})
	tb.Dispatch(start, "r/1/p1", self)
	if d := tb.Dispatch(start, "r/1/p2", self); d.Accepted || d.Refusal.Run != wire.RunStateNotRun || d.Refusal.Code != wire.CodeOverloaded {
		t.Fatalf("Dispatch on a full table = %+v", d)
	}
	if got := tb.Inquire(start, "r/1/p3", self); got != wire.AttemptUnknown {
		t.Fatalf("Inquire on a full table = %q", got)
	}
}

func TestNothingIsForgottenWhenFloorsAreFull(t *testing.T) {
	tb := NewTable(Options{Incarnation: self, MaxFloors: 1})
	tb.Inquire(start, "r/1/p1", self)
	tb.Inquire(start, "r/2/p1", self)
	tb.Expire(start.Add(2 * DefaultRetention))
	if tb.Len() != 1 || tb.State("r/1/p1") != Forgotten || tb.State("r/2/p1") != Tombstoned {
		t.Fatalf("%d entries, %v, %v", tb.Len(), tb.State("r/1/p1"), tb.State("r/2/p1"))
	}
}
