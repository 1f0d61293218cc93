// Package membership tracks which VMs are members, as seen by one process. It
// combines three sources: the platform's list of VMs, which lags; the reports
// of the VMs themselves; and the state of the connections to them.
//
// The view is a state machine without I/O. The state that the list gives a VM
// instance changes in one direction only: a leaving VM never stops leaving, and
// a removed one is not added again. The reports of a VM are ordered by
// incarnation and sequence number. So delayed data of any source cannot restore
// a VM.
package membership
