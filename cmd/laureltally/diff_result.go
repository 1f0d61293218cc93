package main

import (
	"github.com/laureltally/laureltally/config"
)

// diffResult is what a comparison found.
type diffResult struct {
	// Stored is the stored document, if one was compared; its version is what
	// apply takes as --base.
	Stored  *storedInfo     `json:"stored,omitempty"`
	Changes []config.Change `json:"changes"`
}
