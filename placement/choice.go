package placement

import (
	"time"

	"github.com/laureltally/laureltally/fleet"
)

// Choice is the VM chosen for a request.
type Choice struct {
	VM        *fleet.VM
	Readiness Readiness
	// Wait is the estimated time until the request could start.
	Wait time.Duration
	// AgentReachable is set when the VM's agent reports and can be asked for a
	// reservation, at AgentAddress.
	AgentReachable bool
	AgentAddress   string
	// ReportAge is the age of the report that the choice is based on.
	ReportAge time.Duration
}
