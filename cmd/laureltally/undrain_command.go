package main

import (
	"context"
	"io"

	"github.com/laureltally/laureltally/drain"
)

// undrainCommand returns a drained VM to service.
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
	out.printf("%s is back in service\n", c.VM)
	return nil
}
