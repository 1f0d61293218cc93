package objecthttp

import "github.com/laureltally/laureltally/metastore"

// Listing is the answer to a list of objects.
type Listing struct {
	Objects []metastore.Object `json:"objects"`
	// Version is that of the store which the listing reflects.
	Version metastore.Version `json:"version"`
}
