package document

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"pgregory.net/rapid"

	"github.com/laureltally/laureltally/audit"
	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/metastore/memstore"
)

var quiet = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}

// text returns a small document that differs for each n.
func text(n int) []byte {
	return fmt.Appendf(nil, `{
  "environment": "e", // comment %d
  "regions": [{"name": "r", "zones": ["z"]}],
  "priorities": ["high"],
  "upstreams": [{"name": "u", "kind": "service", "replicas": 1, "checks_fences": false}],
  "weight_store": {"loads_per_second": 5},
  "limits": {"burst": %d},
}`, n, n+1)
}

func newRepository(s metastore.Store, actor string) *Repository {
	n := 0
	return New(Options{Store: s, Logger: quiet, NewID: func() string { n++; return fmt.Sprintf("%s-%d", actor, n) }})
}

func apply(ctx context.Context, r *Repository, n int, actor string, base metastore.Version) (Accepted, error) {
	return r.Apply(ctx, Update{Environment: "e", Stage: StageProduction, Text: text(n), Actor: actor, Base: base})
}

func mustApply(t *testing.T, r *Repository, n int, base metastore.Version) Accepted {
	t.Helper()
	a, err := apply(t.Context(), r, n, "anna", base)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func records(t *testing.T, s metastore.Store, q audit.Query) string {
	t.Helper()
	q.Environment = "e"
	found, err := audit.Read(t.Context(), s, q)
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, r := range found {
		lines = append(lines, fmt.Sprintf("%s %s %d->%d", r.Actor, r.Action, r.Previous, r.Version))
	}
	return strings.Join(lines, ", ")
}

func TestConflictErrorReportsWinnerAndChanges(t *testing.T) {
	s := memstore.New(memstore.Options{})
	r := newRepository(s, "x")
	first := mustApply(t, r, 1, 0)
	mustApply(t, r, 2, first.Version)
	_, err := apply(t.Context(), r, 3, "boris", first.Version)
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Actor != "anna" || conflict.Base != first.Version || conflict.Version <= first.Version {
		t.Fatalf("got %v", err)
	}
	want := config.Change{Path: "limits.burst", Kind: config.ChangeChanged, Old: "3", New: "4"}
	if len(conflict.Changes) != 1 || conflict.Changes[0] != want {
		t.Fatalf("got %+v", conflict.Changes)
	}
}

func TestPromoteCopiesTrialText(t *testing.T) {
	s := memstore.New(memstore.Options{})
	r := newRepository(s, "x")
	trial, err := r.Apply(t.Context(), Update{Environment: "e", Stage: StageTrial, Text: text(1), Actor: "anna"})
	if err != nil {
		t.Fatal(err)
	}
	_, err = r.Promote(t.Context(), Promotion{Environment: "e", Actor: "anna", Digest: Digest(text(2))})
	var digest *DigestError
	if !errors.As(err, &digest) || digest.Got != trial.Digest {
		t.Fatalf("got %v", err)
	}
	if _, err := r.Promote(t.Context(), Promotion{Environment: "e", Actor: "boris", Digest: trial.Digest}); err != nil {
		t.Fatal(err)
	}
	production, err := r.Read(t.Context(), "e", StageProduction)
	if err != nil || !bytes.Equal(production.Text, text(1)) {
		t.Fatalf("got %s %v", production.Text, err)
	}
	if got := records(t, s, audit.Query{Actor: "boris"}); !strings.HasPrefix(got, "boris promote 0->") {
		t.Fatalf("got records %q", got)
	}
}

func TestInvalidWritesAreRejected(t *testing.T) {
	r := newRepository(memstore.New(memstore.Options{}), "x")
	_, err := r.Apply(t.Context(), Update{Environment: "other", Stage: StageProduction, Text: text(1)})
	var environment *EnvironmentError
	if !errors.As(err, &environment) {
		t.Errorf("got %v", err)
	}
	_, err = r.Apply(t.Context(), Update{Environment: "e", Stage: StageProduction, Text: []byte("{}")})
	var invalid *config.InvalidError
	if !errors.As(err, &invalid) {
		t.Errorf("got %v", err)
	}
	_, err = r.Promote(t.Context(), Promotion{Environment: "e"})
	var notFound *NotFoundError
	if !errors.As(err, &notFound) {
		t.Errorf("got %v", err)
	}
}

func TestWriteUnderPlatformFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults memstore.Faults
	}{
		{"lost response", memstore.Faults{DropResponses: 1}},
		{"late write", memstore.Faults{LateWrites: 1, LateBy: time.Second}},
		{"late write after the retry", memstore.Faults{LateWrites: 1, LateBy: time.Hour}},
		{"late and lost", memstore.Faults{LateWrites: 1, LateBy: time.Nanosecond, DropResponses: 1}},
		{"slow", memstore.Faults{Delay: time.Second}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := memstore.New(memstore.Options{})
				r := newRepository(s, "x")
				base := mustApply(t, r, 1, 0)
				s.SetFaults(tt.faults)
				a, err := apply(t.Context(), r, 2, "boris", base.Version)
				if err != nil || a.Superseded {
					t.Fatalf("got %+v %v", a, err)
				}
				s.SetFaults(memstore.Faults{})
				time.Sleep(2 * time.Hour)
				stored, err := r.Read(t.Context(), "e", StageProduction)
				if err != nil || stored.Version != a.Version || stored.Actor != "boris" {
					t.Fatalf("got %+v %v", stored, err)
				}
			})
		})
	}
}

func TestLateWritesGiveUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{})
		r := newRepository(s, "x")
		base := mustApply(t, r, 1, 0)
		s.SetFaults(memstore.Faults{LateWrites: 1 << 20, LateBy: time.Hour})
		_, err := apply(t.Context(), r, 2, "boris", base.Version)
		var unknown *UnknownOutcomeError
		if !errors.As(err, &unknown) {
			t.Fatalf("got %v", err)
		}
	})
}

func TestAuditRecordSurvivesCrash(t *testing.T) {
	s := memstore.New(memstore.Options{})
	r := newRepository(s, "x")
	first := mustApply(t, r, 1, 0)
	deleteAuditRecords := func() {
		t.Helper()
		objects, _, err := s.List(t.Context(), "audit/")
		if err != nil {
			t.Fatal(err)
		}
		for _, o := range objects {
			if err := s.Delete(t.Context(), o.Key, o.Version); err != nil {
				t.Fatal(err)
			}
		}
	}
	want := fmt.Sprintf("anna apply 0->%d", first.Version)
	deleteAuditRecords() // As if the process had crashed before it copied the record.
	if n, err := r.Repair(t.Context(), "e"); err != nil || n != 1 {
		t.Fatalf("repaired %d, %v", n, err)
	}
	if got := records(t, s, audit.Query{}); got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
	deleteAuditRecords()
	second := mustApply(t, r, 2, first.Version) // The next write copies the record as well.
	want += fmt.Sprintf(", anna apply %d->%d", first.Version, second.Version)
	if got := records(t, s, audit.Query{}); got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
	if n, err := r.Repair(t.Context(), "e"); err != nil || n != 0 {
		t.Fatalf("repaired %d, %v", n, err)
	}
}

// casInput is a conditional update of a document from one id to another.
type casInput struct{ id, base string }

// casOutput is the result of an update as its caller sees it.
type casOutput int

const (
	casAccepted casOutput = iota
	casConflict
	casUnknown
)

// casRegister models a document with conditional updates.
var casRegister = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		in, matches := input.(casInput), state == input.(casInput).base
		switch output.(casOutput) {
		case casAccepted:
			if matches {
				return []any{in.id}
			}
			return nil
		case casConflict:
			if matches {
				return nil
			}
			return []any{state}
		default:
			if matches {
				return []any{state, in.id}
			}
			return []any{state}
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// TestConcurrentUpdatesAreLinearizable runs concurrent operators under faults and
// checks that the history of accepted and rejected updates is linearizable.
func TestConcurrentUpdatesAreLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		operators := rapid.IntRange(2, 4).Draw(rt, "operators")
		rounds := rapid.IntRange(1, 4).Draw(rt, "rounds")
		faults := memstore.Faults{
			DropResponses: rapid.IntRange(0, 4).Draw(rt, "lost"),
			LateWrites:    rapid.IntRange(0, 4).Draw(rt, "late"),
			LateBy:        time.Duration(rapid.IntRange(0, 3000).Draw(rt, "by")) * time.Millisecond,
			Delay:         time.Duration(rapid.IntRange(0, 2).Draw(rt, "delay")) * time.Second,
			StaleMax:      rapid.IntRange(0, 3).Draw(rt, "stale"),
		}
		seed := rapid.Uint64().Draw(rt, "seed")
		var history []porcupine.Operation
		synctest.Test(t, func(t *testing.T) {
			s := memstore.New(memstore.Options{Seed: seed})
			s.SetFaults(faults)
			history = runOperators(t, s, operators, rounds)
		})
		if !porcupine.CheckOperations(casRegister.ToModel(), history) {
			rt.Fatalf("history is not linearizable: %+v", history)
		}
	})
}

func runOperators(t *testing.T, s *memstore.Store, operators, rounds int) []porcupine.Operation {
	start := time.Now()
	var (
		mu      sync.Mutex
		history []porcupine.Operation
		all     sync.WaitGroup
	)
	for o := range operators {
		actor := fmt.Sprintf("o%d", o)
		all.Go(func() {
			for n := range rounds {
				id := fmt.Sprintf("%s-%d", actor, n)
				r := New(Options{Store: s, Logger: quiet, NewID: func() string { return id }})
				base, err := r.Read(t.Context(), "e", StageProduction)
				if err != nil {
					continue
				}
				op := porcupine.Operation{ClientId: o, Call: int64(time.Since(start)), Input: casInput{id: id, base: base.ID}}
				_, err = apply(t.Context(), r, o*rounds+n, actor, base.Version)
				op.Return = int64(time.Since(start))
				op.Output = outcome(err)
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return history
}

func outcome(err error) casOutput {
	var conflict *ConflictError
	switch {
	case err == nil:
		return casAccepted
	case errors.As(err, &conflict):
		return casConflict
	default:
		return casUnknown
	}
}
