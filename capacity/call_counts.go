package main

// callCounts holds the platform calls of a group of processes: open watches,
// reads and writes during the start, and reads per second afterwards.
type callCounts struct {
	watches, startReads, startWrites, readsPerSecond float64
}
