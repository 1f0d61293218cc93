package objecthttp

import "github.com/laureltally/laureltally/metastore"

// Listing is the response to a list call.
type Listing struct {
	Objects []metastore.Object `json:"objects"`
	// Version is the version of the store that the listing reflects.
	Version metastore.Version `json:"version"`
}
