package main

import (
	"context"
	"io"

	"github.com/laureltally/laureltally/dev"
)

// demoCommand runs the whole path once and shows the answers.
type demoCommand struct{}

func (*demoCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	return dev.Demo(ctx, stdout)
}
