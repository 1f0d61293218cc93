// Command laureltally-standin runs small fakes of the platform's services, for
// tests and trials: the object API, a model engine, a plain service and the weight
// store. Each prints one line "ready ADDR" when it listens.
//
// The exit code is 0 after a graceful shutdown, 1 after a failure and 2 for an
// invalid command line.
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

// run executes one command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a arguments
	if code, done := daemon.Parse("laureltally-standin", args, &a, stdout, stderr); done {
		return code
	}
	c := a.subcommand()
	if c == nil {
		fmt.Fprintln(stderr, "error: a subcommand is required; see --help")
		return daemon.ExitUsage
	}
	if err := c.run(ctx, stdout); err != nil {
		fmt.Fprintln(stderr, "error:", err)
		return daemon.ExitFailed
	}
	return daemon.ExitOK
}
