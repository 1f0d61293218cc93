package main

import (
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// rolloutReport reports how many processes use the newest version of a document.
type rolloutReport struct {
	Environment ident.Environment `json:"environment"`
	Version     metastore.Version `json:"version"`
	// Processes is the number of processes that use Version, and Total the number
	// of reachable processes that watch the document.
	Processes int `json:"processes"`
	Total     int `json:"of"`
}
