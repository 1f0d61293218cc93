package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/metastore/memstore"
	"github.com/laureltally/laureltally/standin"
)

// platformCommand runs the object API with the VM list.
type platformCommand struct {
	Listen    string        `arg:"--listen" default:"127.0.0.1:0" help:"address to listen on"`
	VMs       string        `arg:"--vms" help:"file with the initial VM list, in JSON"`
	VMLag     time.Duration `arg:"--vm-lag" default:"0s" help:"delay until a change of the VM list is visible"`
	Reads     float64       `arg:"--reads" help:"reads per second, 0 for unlimited"`
	Writes    float64       `arg:"--writes" help:"writes per second, 0 for unlimited"`
	Heartbeat time.Duration `arg:"--heartbeat" default:"1s" help:"interval of a watch's heartbeats"`
}

func (c *platformCommand) run(ctx context.Context, stdout io.Writer) error {
	vms := standin.NewVMList(c.VMLag)
	if c.VMs != "" {
		if err := seedVMs(vms, c.VMs); err != nil {
			return err
		}
	}
	api := standin.NewObjectAPI(standin.ObjectAPIOptions{
		Store:     memstore.New(memstore.Options{ReadsPerSecond: c.Reads, WritesPerSecond: c.Writes}),
		VMs:       vms,
		Heartbeat: c.Heartbeat,
	})
	// Requests use ctx as their base context, since watches don't end otherwise.
	return serve(ctx, ctx, c.Listen, api, stdout)
}

// seedVMs adds the VMs listed in a file.
func seedVMs(l *standin.VMList, file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read VM list: %w", err)
	}
	var vms []metastore.VM
	if err := json.Unmarshal(raw, &vms); err != nil {
		return fmt.Errorf("decode VM list %s: %w", file, err)
	}
	for i := range vms {
		l.Apply(standin.VMChange{Put: &vms[i]})
	}
	return nil
}
