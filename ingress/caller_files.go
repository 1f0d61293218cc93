package ingress

import (
	"math"
	"syscall"
)

const (
	// otherFiles is the number of descriptors for everything but callers and upstreams:
	// files, the store, sidecars, probes, metrics.
	otherFiles = 200
	// callerFilesShare is the share of the other descriptors that callers may use: one for
	// each connection, and one for the attempt of each request. The rest is for the idle
	// connections to upstreams.
	callerFilesShare = 0.75
	// minCallerFiles is the least number, also where there are few descriptors.
	minCallerFiles = 16
)

// callerFiles returns how many descriptors may be used for callers on a VM that has a number of
// them. Zero means the limit of the process.
func callerFiles(maxFiles int) int {
	if maxFiles == 0 {
		var l syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
			return 0
		}
		maxFiles = int(min(l.Cur, math.MaxInt32))
	}
	return max(minCallerFiles, int(callerFilesShare*float64(maxFiles-otherFiles)))
}
