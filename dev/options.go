package dev

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

// Options configures Run.
type Options struct {
	// Listen is the IP address and TCP port for callers.
	Listen string
	// AdminListen is the same for operators; empty takes a free loopback port.
	AdminListen string
	// Out gets one line when the path is ready.
	Out io.Writer
	// Logger gets the logs of all parts; nil drops them.
	Logger log.Interface
}

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	}
	if o.AdminListen == "" {
		o.AdminListen = "127.0.0.1:0"
	}
	if o.Out == nil {
		o.Out = io.Discard
	}
	return o
}
