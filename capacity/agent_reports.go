package main

import (
	"fmt"
	"io"

	"github.com/laureltally/laureltally/wire"
)

// agentReports measures the size of an agent's report and the CPU time to encode
// it.
func agentReports(t *table) error {
	sizes := []float64{2, 4, 8, 16, 32}
	toRouters := series{
		Quantity: "an agent's reports to every router, bytes", SizeName: "models in a report", Xs: sizes,
		TargetSize: modelsPerAgent, Count: targetRouters, CountOf: "routers", Rate: reportsPerSecond, Budget: trafficBudgetBytes,
	}
	if err := t.measure(toRouters, reportBytes); err != nil {
		return err
	}
	atRouter := toRouters
	atRouter.Quantity = "every agent's reports at a router, bytes"
	atRouter.Count, atRouter.CountOf = targetAgents, "agents"
	if err := t.measure(atRouter, reportBytes); err != nil {
		return err
	}
	encode := series{
		Quantity: "make and encode a report, µs", SizeName: "models in a report", Xs: sizes,
		TargetSize: modelsPerAgent, Count: targetRouters, CountOf: "routers", Rate: reportsPerSecond, Budget: cpuBudgetMicroseconds,
	}
	return t.measure(encode, func(models int) (float64, error) {
		return cost(func() error { return writeReport(io.Discard, models) })
	})
}

func reportBytes(models int) (float64, error) {
	var n byteCounter
	err := writeReport(&n, models)
	return float64(n), err
}

func writeReport(w io.Writer, models int) error {
	if err := wire.Write(w, report(0, models, 1)); err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	return nil
}
