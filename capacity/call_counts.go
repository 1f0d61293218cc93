package main

// callCounts is what a number of processes ask of the platform.
type callCounts struct {
	watches, startReads, startWrites, perSecond float64
}
