// Package membership keeps a process's view of who is there. It joins three
// sources: the platform's list of VMs, which lags; what processes report of
// themselves; and whether connections to them work.
//
// The view is a pure state machine. What the list says of a VM instance only ever
// moves one way: once leaving, always leaving; once gone, always gone. What a VM
// says of itself is ordered by its incarnations and their numbers. So no source
// that lags behind can bring a VM back.
package membership
