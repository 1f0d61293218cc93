package memstore

// Counters counts the calls of a store since it was made.
type Counters struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Refused int64 `json:"refused"`
	// Watches is the number of watches that wait now.
	Watches int64 `json:"watches"`
}
