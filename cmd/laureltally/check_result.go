package main

import (
	"github.com/laureltally/laureltally/config"
)

// checkResult is what was found in one file.
type checkResult struct {
	File     string           `json:"file"`
	Valid    bool             `json:"valid"`
	Error    string           `json:"error,omitempty"`
	Problems []config.Problem `json:"problems,omitempty"`
}
