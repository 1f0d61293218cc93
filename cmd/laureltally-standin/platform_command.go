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

// platformCommand runs the object API with the list of VMs.
type platformCommand struct {
	Listen    string        `arg:"--listen" default:"127.0.0.1:0" help:"address to listen on"`
	VMs       string        `arg:"--vms" help:"file with a JSON list of the VMs at the start"`
	VMLag     time.Duration `arg:"--vm-lag" default:"0s" help:"how late changes of the list are seen"`
	Reads     float64       `arg:"--reads" help:"reads a second, 0 for no limit"`
	Writes    float64       `arg:"--writes" help:"writes a second, 0 for no limit"`
	Heartbeat time.Duration `arg:"--heartbeat" default:"1s" help:"time between heartbeats of a watch"`
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
	// Watches end with ctx, since nothing else ends them.
	return serve(ctx, ctx, c.Listen, api, stdout)
}

// seedVMs adds the VMs of a file.
func seedVMs(l *standin.VMList, file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("VM list: %w", err)
	}
	var vms []metastore.VM
	if err := json.Unmarshal(raw, &vms); err != nil {
		return fmt.Errorf("VM list %s: %w", file, err)
	}
	for i := range vms {
		l.Apply(standin.VMChange{Put: &vms[i]})
	}
	return nil
}
