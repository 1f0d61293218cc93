package gossip

// relation is how a received report relates to the view's record.
type relation int

const (
	// relationStale: the record is as new or newer.
	relationStale relation = iota
	// relationNewer: the report replaces the record.
	relationNewer
	// relationBaseMissing: the report is a delta to a state that the record does
	// not have.
	relationBaseMissing
)
