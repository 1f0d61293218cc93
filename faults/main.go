// Command faults runs the programs as separate processes, injects faults, alone and
// in pairs, and prints a table of the outcomes at callers and engines. It exits with
// 1 if a run failed, if a request was lost, duplicated, mismatched or misreported, if a
// model had more replicas than its limit, if a load exceeded the memory, or if no
// request was answered after a fault.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/laureltally/laureltally/daemon"
)

// arguments is the command line.
type arguments struct {
	Bin     string   `arg:"--bin" default:"bin" help:"directory with the programs"`
	Seed    uint64   `arg:"--seed" default:"1" help:"seed of the callers"`
	Callers int      `arg:"--callers" default:"9" help:"callers in each run"`
	Verbose bool     `arg:"-v,--verbose" help:"print log tails of runs that went wrong"`
	Only    []string `arg:"--only,separate" help:"run only the faults whose name contains this"`
}

func main() {
	var a arguments
	code, done := daemon.Parse("faults", os.Args[1:], &a, os.Stdout, os.Stderr)
	if done {
		os.Exit(code)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	results := runAll(ctx, a, selectFaults(a.Only))
	printTable(os.Stdout, results)
	for _, r := range results {
		if r.failed() {
			fmt.Println("FAILED")
			os.Exit(daemon.ExitFailed)
		}
	}
	fmt.Println("ok")
}
