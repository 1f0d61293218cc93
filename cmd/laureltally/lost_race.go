package main

import (
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/metastore"
)

// lostRace tells who changed the document before.
type lostRace struct {
	Base    metastore.Version `json:"base"`
	Version metastore.Version `json:"version"`
	Actor   string            `json:"actor"`
	Time    time.Time         `json:"time"`
	Changes []config.Change   `json:"changes"`
}
