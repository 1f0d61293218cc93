package metastore

// Role is the kind of process that runs on a VM.
type Role string

// The roles of VMs.
const (
	RoleRouter Role = "router"
	RoleAgent  Role = "agent"
)
