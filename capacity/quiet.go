package main

import (
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

// quiet returns a logger that discards its output.
func quiet() *log.Logger { return &log.Logger{Handler: discard.New(), Level: log.FatalLevel} }
