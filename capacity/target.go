package main

// The size to design for.
const (
	targetRouters  = 360
	targetAgents   = 1600
	targetModels   = 140
	targetAdapters = 26_000
	// modelsPerAgent is how many models an agent reports: those with a slot or
	// with weights nearby.
	modelsPerAgent = 8
	// reportsPerSecond is how often an agent reports while its load changes.
	reportsPerSecond = 2
)

// Budgets of a node for control.
const (
	coreMicroseconds = 25_000.0 // of processor time a second
	memoryBytes      = 128e6
	trafficBytes     = 4096.0 // a second
)

// Limits of the platform's object API.
const (
	platformReads  = 2000.0 // a second, waiting watches included
	platformWrites = 300.0  // a second
	valueBytes     = 1 << 20
)
