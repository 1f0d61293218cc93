package engine

// OrderKind is the operation that an order requests.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad          OrderKind = "load"
	OrderUnload        OrderKind = "unload"
	OrderLoadAdapter   OrderKind = "load_adapter"
	OrderUnloadAdapter OrderKind = "unload_adapter"
)
