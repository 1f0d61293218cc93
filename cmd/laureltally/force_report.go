package main

import (
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// forceReport tells how far the newest version of a document is in force.
type forceReport struct {
	Environment ident.Environment `json:"environment"`
	Version     metastore.Version `json:"version"`
	// Processes have the version in force, of those that follow the document and
	// can be reached.
	Processes int `json:"processes"`
	Of        int `json:"of"`
}
