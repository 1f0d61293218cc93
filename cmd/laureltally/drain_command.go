package main

import (
	"context"
	"io"

	"github.com/laureltally/laureltally/drain"
	"github.com/laureltally/laureltally/ident"
)

// drainFlags name the VM and who acts.
type drainFlags struct {
	platformFlags
	actorFlags
	VM ident.VM `arg:"positional,required" placeholder:"VM"`
}

func (f drainFlags) request() drain.Request {
	return drain.Request{VM: f.VM, Environment: f.Environment, Actor: f.Actor, Reason: f.Reason}
}

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
	out.printf("%s drains\n", c.VM)
	return nil
}

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
