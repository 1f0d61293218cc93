// Package originstore keeps in the metadata store which software version began a stream, for
// routers that start after all processes that knew it have ended.
//
// A chunk holds the streams that one Writer was told of within some seconds. What a chunk says
// never changes and is not bound to the time at which it is read, so that a late write, an old
// copy of the store and a chunk that nobody deletes name no wrong version.
package originstore
