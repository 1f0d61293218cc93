package dev

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

// Options configures Run.
type Options struct {
	// Listen is the IP address and TCP port on which the router serves callers.
	Listen string
	// AdminListen is the same for operators; empty means a free loopback port.
	AdminListen string
	// Out gets one line when requests can be served; nil drops it.
	Out io.Writer
	// Logger gets the logs of all components; nil drops them.
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
