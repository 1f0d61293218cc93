package main

import (
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/metastore"
)

// writeConflict describes the concurrent change that a write conflicted with.
type writeConflict struct {
	// Base is the version that the rejected document was based on.
	Base metastore.Version `json:"base"`
	// Version, Actor and Time are those of the stored document.
	Version metastore.Version `json:"version"`
	Actor   string            `json:"actor"`
	Time    time.Time         `json:"time"`
	// Changes lead from the stored document to the rejected one.
	Changes []config.Change `json:"changes"`
}
