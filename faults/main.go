// Command faults runs the programs as separate processes under failures, alone
// and in pairs, and prints a table of what callers and engines saw. It exits
// with 1 if anything was lost, doubled, crossed or untrue, or any replica or
// memory was over what was decided.
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
	results := runAll(ctx, a, selected(a.Only))
	printTable(os.Stdout, results)
	for _, r := range results {
		if r.bad() {
			fmt.Println("FAILED")
			os.Exit(daemon.ExitFailed)
		}
	}
	fmt.Println("ok")
}
