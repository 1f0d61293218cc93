// Package replica manages the models of one engine: it turns the slots of a VM
// and the requirements of its requests into orders to the engine.
//
// The decisions are made by a pure state machine. Manager is its driver: it
// reads the engine state and the allocations, submits orders and issues leases.
// No model is loaded before the machine has read an engine state and a listing
// of the allocations that is proven to be newer than this incarnation. A slot
// is used only while its fencing token has not been relinquished, and a slot is
// released only when the engine state shows that the model is unloaded and no
// order can load it again.
package replica
