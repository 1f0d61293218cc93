package main

import (
	"context"
	"io"

	"github.com/laureltally/laureltally/drain"
)

// drainCommand takes a VM out of service.
type drainCommand struct{ drainFlags }

func (c *drainCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	out := &output{w: stdout}
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	if err := drain.New(drain.Options{Store: client}).Begin(ctx, c.request()); err != nil {
		return err
	}
	out.printf("draining %s\n", c.VM)
	return nil
}
