package config

import "github.com/laureltally/laureltally/ident"

// UpstreamGroup is a group of interchangeable back ends.
type UpstreamGroup struct {
	Name ident.Upstream `json:"name"`
	Kind UpstreamKind   `json:"kind"`
	// Replicas is the number of VMs that the operator expects to run.
	Replicas int `json:"replicas"`
	// MemoryMB is the accelerator memory of one VM, in MiB.
	MemoryMB int64 `json:"memory_mb"`
	// ChecksFences reports whether the back ends reject orders with an outdated
	// fencing token.
	ChecksFences bool `json:"checks_fences"`
}
