// Package replica manages the models that one engine holds: it turns the rights
// of a VM and the needs of its requests into orders to the engine.
//
// The decisions are a pure state machine; Manager is the driver that reads the
// engine and the grants, submits orders and hands out leases. Nothing is loaded
// before the machine has seen a state of the engine and a listing of the grants
// that is proved to be newer than this incarnation. A right is used only while
// its fence has not begun to be given up, and a slot is freed only when the
// engine shows that the model is gone and no order can bring it back.
package replica
