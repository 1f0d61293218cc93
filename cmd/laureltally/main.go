// Command laureltally is the operators' command-line tool.
//
// The exit code is 0 after success, 1 after a failure and 2 for an invalid
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

	"github.com/laureltally/laureltally/daemon"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// arguments holds the command-line arguments.
type arguments struct {
	Check   *checkCommand   `arg:"subcommand:check" help:"check documents or settings"`
	Diff    *diffCommand    `arg:"subcommand:diff" help:"show how two documents differ"`
	Apply   *applyCommand   `arg:"subcommand:apply" help:"store a document"`
	Promote *promoteCommand `arg:"subcommand:promote" help:"promote the trial document to production"`
	Status  *statusCommand  `arg:"subcommand:status" help:"show the status reported by routers"`
	Drain   *drainCommand   `arg:"subcommand:drain" help:"take a VM out of service"`
	Undrain *undrainCommand `arg:"subcommand:undrain" help:"return a drained VM to service"`
	Audit   *auditCommand   `arg:"subcommand:audit" help:"list operators' changes"`
	Keys    *keysCommand    `arg:"subcommand:keys" help:"create a certificate authority and certificates"`
	Dev     *devCommand     `arg:"subcommand:dev" help:"run a local installation in one process"`
	Demo    *demoCommand    `arg:"subcommand:demo" help:"run a local installation, send a few requests and print the responses"`
}

// Version implements arg.Versioned.
func (arguments) Version() string { return "laureltally " + daemon.Version }

// command is one subcommand.
type command interface {
	run(ctx context.Context, stdout, stderr io.Writer) error
}

// subcommand returns the subcommand, or nil if none was given.
func (a *arguments) subcommand() command {
	switch {
	case a.Check != nil:
		return a.Check
	case a.Diff != nil:
		return a.Diff
	case a.Apply != nil:
		return a.Apply
	case a.Promote != nil:
		return a.Promote
	case a.Status != nil:
		return a.Status
	case a.Drain != nil:
		return a.Drain
	case a.Undrain != nil:
		return a.Undrain
	case a.Audit != nil:
		return a.Audit
	case a.Keys != nil:
		return a.Keys.subcommand()
	case a.Dev != nil:
		return a.Dev
	case a.Demo != nil:
		return a.Demo
	default:
		return nil
	}
}

// run executes one command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a arguments
	code, done := daemon.Parse("laureltally", args, &a, stdout, stderr)
	if done {
		return code
	}
	c := a.subcommand()
	if c == nil {
		fmt.Fprintln(stderr, "laureltally: a subcommand is required; see --help")
		return daemon.ExitUsage
	}
	if err := c.run(ctx, stdout, stderr); err != nil {
		fmt.Fprintln(stderr, "laureltally:", err)
		return exitCode(err)
	}
	return daemon.ExitOK
}

// exitCode returns the exit code of a failed command.
func exitCode(err error) int {
	var usage *usageError
	if errors.As(err, &usage) {
		return daemon.ExitUsage
	}
	return daemon.ExitFailed
}
