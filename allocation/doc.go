// Package allocation holds the rights to load replicas: one object per model in the
// platform's store, its pure transitions, the planner that writes it and a view
// of the watched objects.
//
// A slot is the right of one VM instance to hold one replica. It ends in one of
// two ways: the holder passes it through revoking and frees it once its engine
// is confirmed empty, or the VM instance was seen in the platform's list and is
// now gone from it. Never by a timeout, since a paused holder may resume.
//
// The conditional update alone keeps racing writers correct. A grant object is
// never deleted, because its next fence must outlive every slot.
package allocation
