package main

// section is a group of measurements.
type section struct {
	name string
	run  func(t *table) error
}

// sections returns all sections in the order in which they run.
func sections() []section {
	return []section{
		{name: "router state", run: routerState},
		{name: "router processor time", run: routerTime},
		{name: "agent reports", run: agentReports},
		{name: "keep-alive", run: keepAliveState},
		{name: "configuration", run: configuration},
		{name: "platform calls", run: platformCalls},
		{name: "grants", run: allocations},
		{name: "claims", run: claims},
		{name: "connections", run: connections},
	}
}
