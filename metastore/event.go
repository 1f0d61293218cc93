package metastore

// Event is a change to an object, as delivered by a watch.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted,omitempty"`
}
