package main

import (
	"github.com/laureltally/laureltally/config"
)

// checkResult is the result of checking one file.
type checkResult struct {
	File     string           `json:"file"`
	Valid    bool             `json:"valid"`
	Error    string           `json:"error,omitempty"`
	Problems []config.Problem `json:"problems,omitempty"`
}
