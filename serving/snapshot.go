package serving

// Snapshot is a configuration with its route table.
type Snapshot struct {
	Config *Config
	Table  *Table
}
