package placement

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Requirements is what a request requires of a VM.
type Requirements struct {
	Service ident.Upstream
	// Model and Adapter are empty for a plain service.
	Model    ident.Model
	Adapter  ident.Adapter
	Priority ident.Priority
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
	// Software is the software version that the request is bound to, or empty.
	Software string
	// AvoidSoftware lists software versions at which the request must not begin.
	AvoidSoftware []string
	// Exclude lists VMs that have refused or failed this request.
	Exclude []ident.VM
}

// AllowsSoftware reports whether a VM with a software version may serve the request.
func (n *Requirements) AllowsSoftware(version string) bool {
	return (n.Software == "" || n.Software == version) && !slices.Contains(n.AvoidSoftware, version)
}
