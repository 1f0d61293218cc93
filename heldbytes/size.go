package heldbytes

const (
	// budgetShare is the fraction of a VM's memory that may be held for peers. The rest
	// is for the program, the garbage between two collections, and what the kernel
	// buffers beyond the allowance of a connection.
	budgetShare = 0.4
	bytesPerMB  = 1 << 20
)

// LimitFor returns the byte budget of a VM with the given memory.
func LimitFor(memoryMB float64) int64 { return int64(budgetShare * memoryMB * bytesPerMB) }
