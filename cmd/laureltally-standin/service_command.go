package main

import (
	"context"
	"io"

	"github.com/laureltally/laureltally/standin"
)

// serviceCommand runs a plain service.
type serviceCommand struct {
	Listen string `arg:"--listen" default:"127.0.0.1:0" help:"address to listen on"`
}

func (c *serviceCommand) run(ctx context.Context, stdout io.Writer) error {
	return serve(ctx, context.Background(), c.Listen, standin.NewService(), stdout)
}
