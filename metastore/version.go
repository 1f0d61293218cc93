package metastore

// Version is the number of a change. It increases strictly across all objects of
// a store. Zero means that the object does not exist.
type Version uint64
