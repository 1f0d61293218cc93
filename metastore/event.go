package metastore

// Event is one change that a watch delivers.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted,omitempty"`
}
