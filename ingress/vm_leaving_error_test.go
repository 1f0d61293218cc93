package ingress

import (
	"errors"
	"testing"
)

// A place at a VM that has begun to leave is a failure with a reason: without one,
// a request that met three such VMs ended its handler instead of being refused.
func TestPlaceAtALeavingVMIsAFailure(t *testing.T) {
	var leaving *VMLeavingError
	if err := stillGood(nil, false); !errors.As(err, &leaving) || err.Error() == "" {
		t.Errorf("got %v", err)
	}
	if err := stillGood(nil, true); err != nil {
		t.Errorf("got %v", err)
	}
	refused := &RefusedError{Reason: "full"}
	if err := stillGood(refused, false); !errors.Is(err, refused) {
		t.Errorf("got %v", err)
	}
}
