package gossip

// fit is how a report in a reply relates to the view's record.
type fit int

const (
	// fitStale: the record is as new or newer.
	fitStale fit = iota
	// fitNews: the report supersedes the record.
	fitNews
	// fitLacking: the report is a delta to a state other than the record's.
	fitLacking
)
