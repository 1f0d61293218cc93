package config

import "github.com/laureltally/laureltally/ident"

// UpstreamGroup is a group of interchangeable back ends.
type UpstreamGroup struct {
	Name ident.Upstream `json:"name"`
	Kind UpstreamKind   `json:"kind"`
	// Replicas is how many VMs the operator expects to run.
	Replicas int `json:"replicas"`
	// MemoryMB is the accelerator memory of one VM, in MiB.
	MemoryMB int64 `json:"memory_mb"`
	// ChecksFences tells whether the back ends refuse orders with an old fence.
	ChecksFences bool `json:"checks_fences"`
}
