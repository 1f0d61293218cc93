package main

import (
	"github.com/laureltally/laureltally/config"
)

// diffResult is the result of a comparison.
type diffResult struct {
	// Stored describes the stored document, if it was compared. Its version can be
	// passed to apply as --base.
	Stored  *storedInfo     `json:"stored,omitempty"`
	Changes []config.Change `json:"changes"`
}
