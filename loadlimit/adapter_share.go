package loadlimit

// AdapterShare returns how many adapter loads one of several agents may run
// without asking the gate, such that all together stay within parallel. Agents
// are numbered from zero. An adapter loads in less time than the gate takes to
// answer from another region, so that agents ask it only beyond their share.
func AdapterShare(parallel, agents, number int) int {
	if agents < 1 || number < 0 || number >= agents {
		return 0
	}
	share := parallel / agents
	if number < parallel%agents {
		share++
	}
	return share
}
