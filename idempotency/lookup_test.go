package idempotency

import (
	"errors"
	"testing"
	"testing/synctest"

	"github.com/laureltally/laureltally/wire"
)

// noTargetError is the error of choose while no upstream is reachable.
type noTargetError struct{}

func (*noTargetError) Error() string { return "no upstream" }

func chooseNone() (Target, error) { return Target{}, &noTargetError{} }

// TestRepeatedKeyWithoutUpstream repeats a key while no upstream can be chosen.
// The error of choose, which is reported to callers as not run, may be returned
// only if the recorded attempt is known not to have run.
func TestRepeatedKeyWithoutUpstream(t *testing.T) {
	tests := []struct {
		name  string
		state wire.AttemptState
		want  Kind
	}{
		{"running: joined", wire.AttemptRunning, Join},
		{"finished: joined", wire.AttemptFinished, Join},
		{"agent unreachable", "", Unknown},
		{"agent restarted", wire.AttemptUnknown, Unknown},
		{"not run", wire.AttemptNotRun, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				r2 := newTestManager(t, store, "r2", nil)
				r2.mustClaim(t, "other", "f") // r2 has read the bucket before
				newTestManager(t, store, "r1", nil).mustClaim(t, "k", "f")
				r2.inquirer.state = test.state
				out, err := r2.Claim(t.Context(), "k", "f", chooseNone)
				var none *noTargetError
				if test.want == 0 {
					if !errors.As(err, &none) {
						t.Fatalf("got %+v, %v", out, err)
					}
					return
				}
				if err != nil || out.Kind != test.want {
					t.Fatalf("got %+v, %v", out, err)
				}
			})
		})
	}
}

func TestFirstClaimWithoutUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestManager(t, newFakeStore(), "r1", nil)
		_, err := r.Claim(t.Context(), "k", "f", chooseNone)
		var none *noTargetError
		if !errors.As(err, &none) {
			t.Fatalf("got %v", err)
		}
		for key, o := range r.store.objects {
			if records, err := decodeTable(key, o.Value); err != nil || len(records) != 0 {
				t.Fatalf("records %v, error %v; want none", records, err)
			}
		}
	})
}
