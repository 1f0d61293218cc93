// Command laureltally is the operators' program.
//
// The exit code is 0 after success, 1 after a failure and 2 for a wrong command
// line.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/laureltally/laureltally/daemon"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// arguments is the command line.
type arguments struct {
	Dev  *devCommand  `arg:"subcommand:dev" help:"run the whole path in one process"`
	Demo *demoCommand `arg:"subcommand:demo" help:"run the whole path once and show the answers"`
}

// command is one subcommand.
type command interface {
	run(ctx context.Context, stdout, stderr io.Writer) error
}

// chosen returns the subcommand of the command line, or nil.
func (a *arguments) chosen() command {
	switch {
	case a.Dev != nil:
		return a.Dev
	case a.Demo != nil:
		return a.Demo
	default:
		return nil
	}
}

// run carries out one command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a arguments
	code, done := daemon.Parse("laureltally", args, &a, stdout, stderr)
	if done {
		return code
	}
	c := a.chosen()
	if c == nil {
		fmt.Fprintln(stderr, "laureltally: a subcommand is required; see --help")
		return daemon.ExitUsage
	}
	if err := c.run(ctx, stdout, stderr); err != nil {
		fmt.Fprintln(stderr, "laureltally:", err)
		return daemon.ExitFailed
	}
	return daemon.ExitOK
}
