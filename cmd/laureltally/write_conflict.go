package main

import (
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/metastore"
)

// writeConflict describes the concurrent change that a write conflicted with.
type writeConflict struct {
	Base    metastore.Version `json:"base"`
	Version metastore.Version `json:"version"`
	Actor   string            `json:"actor"`
	Time    time.Time         `json:"time"`
	Changes []config.Change   `json:"changes"`
}
