package loadlimit

// AdapterShare returns how many adapter loads one of several agents may run
// without a permit, so that all agents together stay within parallel. index
// numbers the agents from zero. An adapter loads in less time than the limiter
// takes to respond from another region, so agents request permits only beyond
// their share.
func AdapterShare(parallel, agents, index int) int {
	if agents < 1 || index < 0 || index >= agents {
		return 0
	}
	share := parallel / agents
	if index < parallel%agents {
		share++
	}
	return share
}
