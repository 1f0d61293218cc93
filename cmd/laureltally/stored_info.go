package main

import (
	"time"

	"github.com/laureltally/laureltally/metastore"
)

// storedInfo describes a stored document.
type storedInfo struct {
	Version metastore.Version `json:"version"`
	Actor   string            `json:"actor"`
	Time    time.Time         `json:"time"`
	Digest  string            `json:"digest"`
}
