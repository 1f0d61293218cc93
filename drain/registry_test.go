package drain

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/laureltally/laureltally/audit"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/metastore/memstore"
)

func auditLog(t *testing.T, s metastore.Store) string {
	t.Helper()
	records, err := audit.Read(t.Context(), s, audit.Query{Environment: "e"})
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, r := range records {
		lines = append(lines, fmt.Sprintf("%s %s %s", r.Actor, r.Action, r.Subject))
	}
	return strings.Join(lines, ", ")
}

func TestDrainAndUndrain(t *testing.T) {
	for name, faults := range map[string]memstore.Faults{
		"healthy":        {},
		"lost responses": {DropResponses: 9},
		"late writes":    {LateWrites: 2, LateBy: 30 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := memstore.New(memstore.Options{})
				o := New(Options{Store: s})
				s.SetFaults(faults)
				if err := o.Begin(t.Context(), Request{VM: "v", Environment: "e", Actor: "anna"}); err != nil {
					t.Fatal(err)
				}
				err := o.Begin(t.Context(), Request{VM: "v", Environment: "e", Actor: "boris"})
				var alreadyDraining *AlreadyDrainingError
				if !errors.As(err, &alreadyDraining) || alreadyDraining.Actor != "anna" {
					t.Fatalf("second Begin = %v, want AlreadyDrainingError naming anna", err)
				}
				time.Sleep(time.Second)
				if err := o.End(t.Context(), Request{VM: "v", Environment: "e", Actor: "boris"}); err != nil {
					t.Fatal(err)
				}
				var notDraining *NotDrainingError
				if err := o.End(t.Context(), Request{VM: "v"}); !errors.As(err, &notDraining) {
					t.Fatalf("second End = %v, want NotDrainingError", err)
				}
				if got := auditLog(t, s); got != "anna drain v, boris undrain v" {
					t.Fatalf("audit log %q", got)
				}
				time.Sleep(time.Minute)
				if object, err := s.Get(t.Context(), Key("v")); err != nil || Active(metastore.Event{Object: object}) {
					t.Fatalf("a delayed write restarted the drain: %s %v", object.Value, err)
				}
				s.SetFaults(memstore.Faults{})
				time.Sleep(2 * endedRetention)
				if err := o.Repair(t.Context()); err != nil {
					t.Fatal(err)
				}
				if _, err := s.Get(t.Context(), Key("v")); err == nil {
					t.Fatal("the ended drain was not deleted")
				}
				if err := o.Begin(t.Context(), Request{VM: "v", Environment: "e", Actor: "anna"}); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}

func TestRepairAfterCrashBetweenWrites(t *testing.T) {
	s := memstore.New(memstore.Options{})
	o := New(Options{Store: s})
	r := Request{VM: "v", Environment: "e", Actor: "anna"}
	state := State{VM: "v", Actor: "anna", Environment: "e", AuditRecords: []audit.Record{o.newAuditRecord(r, audit.ActionDrain)}}
	version, err := o.put(t.Context(), state, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := o.Repair(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := auditLog(t, s); got != "anna drain v" {
		t.Fatalf("audit log %q", got)
	}
	state.Ended, state.EndTime = true, time.Now()
	state.AuditRecords = append(state.AuditRecords, o.newAuditRecord(r, audit.ActionUndrain))
	if _, err := o.put(t.Context(), state, version); err != nil {
		t.Fatal(err)
	}
	if err := o.Begin(t.Context(), r); err != nil { // Writes the missing audit records.
		t.Fatal(err)
	}
	if got := auditLog(t, s); got != "anna drain v, anna undrain v, anna drain v" {
		t.Fatalf("audit log %q", got)
	}
}

func TestActive(t *testing.T) {
	tests := []struct {
		name    string
		value   string
		deleted bool
		want    bool
	}{
		{"order", `{"vm":"v"}`, false, true},
		{"ended order", `{"vm":"v","ended":true}`, false, false},
		{"unreadable value", `now`, false, true},
		{"deleted", `{"vm":"v"}`, true, false},
	}
	for _, tt := range tests {
		e := metastore.Event{Object: metastore.Object{Value: []byte(tt.value)}, Deleted: tt.deleted}
		if got := Active(e); got != tt.want {
			t.Errorf("%s: Active = %v", tt.name, got)
		}
	}
}
