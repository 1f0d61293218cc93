package serving

// Snapshot is a configuration with its route table and its priorities.
type Snapshot struct {
	Config *Config
	Table  *Table
	// Priorities combines the priorities of tenants and routes.
	Priorities *PriorityTable
}
