package main

import (
	"context"
	"sync/atomic"

	"github.com/laureltally/laureltally/platform"
)

// countingLister is a list of VMs that counts how often it is read.
type countingLister struct {
	vms   []platform.VM
	reads atomic.Int64
}

// ListVMs implements platform.VMLister.
func (l *countingLister) ListVMs(context.Context) ([]platform.VM, error) {
	l.reads.Add(1)
	return l.vms, nil
}
