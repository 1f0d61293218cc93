package main

import (
	"context"
	"io"

	"github.com/laureltally/laureltally/daemon"
)

// arguments holds the command-line arguments.
type arguments struct {
	Platform *platformCommand `arg:"subcommand:platform" help:"object API and VM list"`
	Engine   *engineCommand   `arg:"subcommand:engine" help:"model engine"`
	Service  *serviceCommand  `arg:"subcommand:service" help:"plain service"`
	Weights  *weightsCommand  `arg:"subcommand:weights" help:"weight store"`
}

// command is one subcommand.
type command interface {
	run(ctx context.Context, stdout io.Writer) error
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "Runs a small fake of one of the platform's services, for tests and trials."
}

// Version implements arg.Versioned.
func (arguments) Version() string { return "laureltally " + daemon.Version }

// subcommand returns the subcommand, or nil if none was given.
func (a *arguments) subcommand() command {
	switch {
	case a.Platform != nil:
		return a.Platform
	case a.Engine != nil:
		return a.Engine
	case a.Service != nil:
		return a.Service
	case a.Weights != nil:
		return a.Weights
	default:
		return nil
	}
}
