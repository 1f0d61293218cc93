package idempotency

import (
	"errors"
	"testing"
	"testing/synctest"

	"github.com/laureltally/laureltally/wire"
)

// noTargetError is what choose fails with while no upstream can be reached.
type noTargetError struct{}

func (*noTargetError) Error() string { return "no upstream" }

func chooseNone() (Target, error) { return Target{}, &noTargetError{} }

// TestRepeatWithoutUpstream repeats a key when no upstream can be chosen. Only
// if its attempt is known not to have run may the error of choose, which callers
// are told as not run, be the answer.
func TestRepeatWithoutUpstream(t *testing.T) {
	tests := []struct {
		name  string
		state wire.AttemptState
		want  Kind
	}{
		{"running is joined", wire.AttemptRunning, Join},
		{"finished is joined", wire.AttemptFinished, Join},
		{"agent unreachable", "", Unknown},
		{"agent restarted", wire.AttemptUnknown, Unknown},
		{"not run", wire.AttemptNotRun, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				r2 := newRig(t, store, "r2", nil)
				r2.begin(t, "other", "f") // r2 knows the bucket from before
				newRig(t, store, "r1", nil).begin(t, "k", "f")
				r2.asker.state = test.state
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

func TestFirstCallWithoutUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, newFakeStore(), "r1", nil)
		_, err := r.Claim(t.Context(), "k", "f", chooseNone)
		var none *noTargetError
		if !errors.As(err, &none) {
			t.Fatalf("got %v", err)
		}
		for key, o := range r.store.objects {
			if claims, err := decodeTable(key, o.Value); err != nil || len(claims) != 0 {
				t.Fatalf("claims %v, %v", claims, err)
			}
		}
	})
}
