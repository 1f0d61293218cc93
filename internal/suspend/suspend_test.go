package suspend

import (
	"testing"
	"time"
)

// Guards against time that counts as suspended though the machine has run all the while.
func TestRunningMachineIsNotSuspended(t *testing.T) {
	c, err := NewClock()
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if got := c.Suspended(); got > 25*time.Millisecond {
		t.Errorf("suspended for %v", got)
	}
}
