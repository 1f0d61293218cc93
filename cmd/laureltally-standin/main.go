// Command laureltally-standin runs small fakes of what the platform gives, for
// tests and trials: the object API, a model engine, a plain service and the
// weight store. Each prints one line "ready ADDR" once it listens.
//
// The exit code is 0 after a graceful end, 1 after a failure and 2 for a wrong
// command line.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run carries out one command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "laureltally-standin", Out: stderr}, &a)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	err = p.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelpForSubcommand(stdout, p.SubcommandNames()...)
		return exitOK
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(stdout, a.Version())
		return exitOK
	case err != nil:
		p.WriteUsageForSubcommand(stderr, p.SubcommandNames()...)
		fmt.Fprintln(stderr, "error:", err)
		return exitUsage
	}
	c := a.chosen()
	if c == nil {
		p.WriteHelp(stderr)
		return exitUsage
	}
	if err := c.run(ctx, stdout); err != nil {
		fmt.Fprintln(stderr, "error:", err)
		return exitFailed
	}
	return exitOK
}
