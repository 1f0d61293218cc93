package metastore

// Role tells which process of the system runs on a VM.
type Role string

// The roles of VMs.
const (
	RoleRouter Role = "router"
	RoleAgent  Role = "agent"
)
