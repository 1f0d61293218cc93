package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/laureltally/laureltally/routing"
	"github.com/laureltally/laureltally/wire"
)

// tableWithReports is a routing table and the reports that a router keeps with it.
type tableWithReports struct {
	table   *routing.Table
	reports []*wire.Report
}

func newRoutingTable(agents int) (*tableWithReports, error) {
	c, err := routing.New(routing.Options{Rand: rand.New(rand.NewPCG(1, 2))})
	if err != nil {
		return nil, fmt.Errorf("create chooser: %w", err)
	}
	t := &tableWithReports{table: routing.NewTable(c)}
	for i := range agents {
		r := report(i, modelsPerAgent, 1)
		t.reports = append(t.reports, r)
		t.table.Report(time.Unix(0, 0), r, 0)
	}
	return t, nil
}
