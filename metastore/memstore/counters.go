package memstore

// Counters holds the numbers of calls to a store since it was created.
type Counters struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// Refused counts the calls that failed due to an outage or the rate limit.
	Refused int64 `json:"refused"`
	// Watches is the number of open watches.
	Watches int64 `json:"watches"`
}
