package main

import (
	"context"
	"io"

	"github.com/laureltally/laureltally/drain"
)

// undrainCommand brings a drained VM back.
type undrainCommand struct{ drainFlags }

func (c *undrainCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	out := &output{w: stdout}
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	if err := drain.New(drain.Options{Store: client}).End(ctx, c.request()); err != nil {
		return err
	}
	out.printf("%s takes work again\n", c.VM)
	return nil
}
