package metastore

// Version is a store-wide, strictly increasing change number. Zero means that
// the object does not exist.
type Version uint64
