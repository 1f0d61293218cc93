package placement

import (
	"time"

	"github.com/laureltally/laureltally/fleet"
)

// Choice is the VM for a request.
type Choice struct {
	VM        *fleet.VM
	Readiness Readiness
	// Wait estimates the time until the request could start.
	Wait time.Duration
	// AgentReachable is set when the VM's agent can be asked; its address is AgentAddress.
	AgentReachable bool
	AgentAddress   string
	// ReportAge is how old the report is that the choice rests on.
	ReportAge time.Duration
}
