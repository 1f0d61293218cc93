package fleet

// Change is one change of the known VMs. VM is the last known state.
type Change struct {
	Kind ChangeKind
	VM   *VM
}
