package main

import (
	"bytes"
	"fmt"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/routing"
	"github.com/laureltally/laureltally/wire"
)

// peakRequests is the peak request rate of all routers together, per second.
const peakRequests = 6400.0

// routerTime measures a router's CPU time to apply a report and to choose a VM.
func routerTime(t *table) error {
	s := series{
		Quantity: "read and apply a report, µs", SizeName: "models in it", Xs: []float64{2, 4, 8, 16, 32},
		TargetSize: modelsPerAgent, Count: targetAgents, CountOf: "agents", Rate: reportsPerSecond, Budget: cpuBudgetMicroseconds,
	}
	if err := t.measure(s, applyCost); err != nil {
		return err
	}
	s = series{
		Quantity: "choose a VM for a request, µs", SizeName: "candidates", Xs: []float64{4, 12, 48, 192, 768},
		TargetSize: targetAgents * modelsPerAgent / targetModels, Count: peakRequests / targetRouters, CountOf: "requests", Budget: cpuBudgetMicroseconds,
	}
	return t.measure(s, chooseCost)
}

// applyCost returns the CPU time in microseconds to decode and apply one report.
func applyCost(models int) (float64, error) {
	t, err := newRoutingTable(targetModels)
	if err != nil {
		return 0, err
	}
	var frame bytes.Buffer
	if err := writeReport(&frame, models); err != nil {
		return 0, err
	}
	seq := uint64(1)
	return cost(func() error {
		m, err := wire.Read(bytes.NewReader(frame.Bytes()))
		if err != nil {
			return fmt.Errorf("decode report: %w", err)
		}
		if r, ok := m.(*wire.Report); ok {
			seq++
			r.Seq = seq
			t.table.Report(time.Unix(0, 0), r, 0)
		}
		return nil
	})
}

// chooseCost returns the CPU time in microseconds to choose one of the given
// number of VMs.
func chooseCost(candidates int) (float64, error) {
	t, err := newRoutingTable(0)
	if err != nil {
		return 0, err
	}
	now := time.Unix(0, 0)
	for i := range candidates {
		r := report(i, 0, 1)
		r.Models = []wire.ModelReport{modelReport(0, true)}
		t.table.Report(now, r, 0)
	}
	l := routing.Lookup{
		Request: routing.Request{Region: regionName, Zone: zoneName, Remaining: time.Second},
		Target:  routing.Target{Upstream: upstreamName, Model: modelName(0)},
		Adapter: ident.Adapter(adapterName(0)),
	}
	return cost(func() error {
		if _, _, err := t.table.Choose(now, l); err != nil {
			return fmt.Errorf("choose VM: %w", err)
		}
		return nil
	})
}
