package replica

import (
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
)

// machineOptions configures a machine.
type machineOptions struct {
	incarnation ident.Incarnation
	spec        func(ident.Model) (config.Model, bool)
	policy      Policy
	memoryMB    int64
	settleTime  time.Duration
	memoryWait  time.Duration
	loadRetry   time.Duration
	writeRetry  time.Duration
	retryAfter  time.Duration
	limitLoads  bool
	// faults disables protections in tests that show what each is for.
	faults faults
}
