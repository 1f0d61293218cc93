// Package allocation decides which VMs may hold a replica of a model. It holds
// the stored object of a model, its pure state transitions, the planner that
// writes it and a view of the watched objects.
//
// A slot allows one VM instance to hold one replica. It ends in one of two
// ways: the VM sets it to revoking and releases it once its engine is confirmed
// to hold no replica, or the VM instance was in the platform's list and has
// been removed from it. A slot never times out, since a paused VM may resume.
//
// Conditional updates alone keep concurrent writers correct. An allocation is
// never deleted, because the next fencing token must be higher than that of
// every slot issued before.
package allocation
