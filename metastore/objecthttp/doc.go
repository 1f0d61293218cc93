// Package objecthttp speaks the object API over HTTP, as a client that
// implements metastore.Store and metastore.VMLister, and defines the bodies that
// both ends share.
//
//	GET    /objects/{key}            -> 200, the value, its version in ETag
//	PUT    /objects/{key}            If-Match: "N" or If-None-Match: *
//	                                 -> 200, the new version in ETag
//	DELETE /objects/{key}            If-Match: "N" -> 204
//	GET    /objects?prefix=P         -> Listing
//	GET    /watch?prefix=P&since=N   -> lines of WatchLine, with heartbeats
//	GET    /vms                      -> a list of metastore.VM
//
// Failures carry a Problem: 404 not found, 410 compacted, 412 conflict, 413
// value too large, 429 and 503 unavailable with Retry-After. Writes are never
// retried here, since only the caller can tell whether they took effect.
package objecthttp
