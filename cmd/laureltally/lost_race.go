package main

import (
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/platform"
)

// lostRace tells who changed the document before.
type lostRace struct {
	Base    platform.Version `json:"base"`
	Version platform.Version `json:"version"`
	Actor   string           `json:"actor"`
	Time    time.Time        `json:"time"`
	Changes []config.Change  `json:"changes"`
}
