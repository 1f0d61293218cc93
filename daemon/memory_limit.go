package daemon

import "runtime/debug"

// goMemoryShare is the fraction of a VM's memory that the Go runtime may use before it
// collects garbage more often. The rest is for the kernel's socket buffers and for the
// program's code.
const goMemoryShare = 0.7

// LimitMemory makes the runtime collect garbage before it uses up a VM's memory. Zero
// leaves it without a limit.
func LimitMemory(memoryMB float64) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(goMemoryShare * memoryMB * (1 << 20)))
	}
}
