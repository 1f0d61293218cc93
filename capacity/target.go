package main

// Target sizes of the system.
const (
	targetRouters  = 360
	targetAgents   = 1600
	targetModels   = 140
	targetAdapters = 26_000
	// modelsPerAgent is the number of models in an agent's report: those with a slot
	// on its VM or with weights cached there.
	modelsPerAgent = 8
	// reportsPerSecond is the report rate of an agent while its load changes.
	reportsPerSecond = 2
)

// Budgets of one VM for control work.
const (
	cpuBudgetMicroseconds = 25_000.0 // CPU time a second
	memoryBudgetBytes     = 128e6
	trafficBudgetBytes    = 4096.0 // a second
)

// Limits of the platform's object API.
const (
	platformReadLimit  = 2000.0 // a second, including waiting watches
	platformWriteLimit = 300.0  // a second
	maxValueBytes      = 1 << 20
)
