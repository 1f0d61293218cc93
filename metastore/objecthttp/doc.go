// Package objecthttp implements a client of the object API over HTTP, which is a
// metastore.Store and a metastore.VMLister, and defines the message bodies that
// client and server share.
//
//	GET    /objects/{key}            -> 200, the value, its version in ETag
//	PUT    /objects/{key}            If-Match: "N" or If-None-Match: *
//	                                 -> 200, the new version in ETag
//	DELETE /objects/{key}            If-Match: "N" -> 204
//	GET    /objects?prefix=P         -> Listing
//	GET    /watch?prefix=P&since=N   -> WatchLine values, one per line, with heartbeats
//	GET    /vms                      -> a list of metastore.VM
//
// The body of a failed call is a Problem: 404 not found, 410 compacted, 412
// conflict, 413 value too large, 429 and 503 unavailable with Retry-After. The
// client never retries a write, since only the caller can find out whether it took
// effect.
package objecthttp
