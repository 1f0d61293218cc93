package engine

// OrderKind tells what an order asks of the engine.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad          OrderKind = "load"
	OrderUnload        OrderKind = "unload"
	OrderLoadAdapter   OrderKind = "load_adapter"
	OrderUnloadAdapter OrderKind = "unload_adapter"
)
