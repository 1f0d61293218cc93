package main

import (
	"context"
	"sync/atomic"

	"github.com/laureltally/laureltally/metastore"
)

// countingLister is a metastore.VMLister with a fixed list that counts its reads.
type countingLister struct {
	vms   []metastore.VM
	reads atomic.Int64
}

// ListVMs implements metastore.VMLister.
func (l *countingLister) ListVMs(context.Context) ([]metastore.VM, error) {
	l.reads.Add(1)
	return l.vms, nil
}
