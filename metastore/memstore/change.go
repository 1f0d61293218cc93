package memstore

import "github.com/laureltally/laureltally/metastore"

// change is one entry of the history, with the object that it replaced. A
// missing object has version zero.
type change struct {
	event metastore.Event
	prev  metastore.Object
}
