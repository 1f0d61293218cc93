package main

import (
	"context"
	"io"

	"github.com/laureltally/laureltally/dev"
)

// demoCommand runs a local installation, sends a few requests and prints the
// responses.
type demoCommand struct{}

func (*demoCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	return dev.Demo(ctx, stdout)
}
