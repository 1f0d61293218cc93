package ingress

import (
	"errors"
	"testing"
)

// A reservation at a VM that has begun to leave must fail with an error: without one,
// a request that met three such VMs ended its handler instead of being refused.
func TestReservationAtLeavingVMFails(t *testing.T) {
	var leaving *VMLeavingError
	if err := checkUsable(nil, false); !errors.As(err, &leaving) || err.Error() == "" {
		t.Errorf("got %v", err)
	}
	if err := checkUsable(nil, true); err != nil {
		t.Errorf("got %v", err)
	}
	refused := &RefusedError{Reason: "full"}
	if err := checkUsable(refused, false); !errors.Is(err, refused) {
		t.Errorf("got %v", err)
	}
}
