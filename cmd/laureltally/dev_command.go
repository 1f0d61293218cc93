package main

import (
	"context"
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"

	"github.com/laureltally/laureltally/dev"
)

// devCommand runs a local installation in one process until it is stopped.
type devCommand struct {
	Listen      string `arg:"--listen" default:"127.0.0.1:8080" help:"IP address and port for callers"`
	AdminListen string `arg:"--admin-listen" default:"127.0.0.1:8081" help:"IP address and port for operators: status, metrics, health"`
	Verbose     bool   `arg:"-v,--verbose" help:"write the logs of all components to standard error"`
}

func (c *devCommand) run(ctx context.Context, stdout, stderr io.Writer) error {
	o := dev.Options{Listen: c.Listen, AdminListen: c.AdminListen, Out: stdout}
	if c.Verbose {
		o.Logger = &log.Logger{Handler: logfmt.New(stderr), Level: log.InfoLevel}
	}
	return dev.Run(ctx, o)
}
