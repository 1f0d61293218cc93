package memstore

import "github.com/laureltally/laureltally/metastore"

// change is one entry of the history, with the object that it replaced. If there
// was none, previous has version zero.
type change struct {
	event    metastore.Event
	previous metastore.Object
}
