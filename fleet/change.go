package fleet

// Change is one change of belief. VM is the newest state that is known.
type Change struct {
	Kind ChangeKind
	VM   *VM
}
