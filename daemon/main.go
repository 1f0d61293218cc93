package daemon

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

// Arguments holds the command-line arguments of a daemon.
type Arguments struct {
	Settings string `arg:"positional,required" placeholder:"FILE" help:"settings, JSON with comments"`
}

// Version implements arg.Versioned.
func (Arguments) Version() string { return "laureltally " + Version }

// Main parses the command line, runs the daemon until SIGINT or SIGTERM and
// returns the exit code.
func Main(program string, run func(ctx context.Context, a Arguments) error) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// SIGHUP has no effect until WatchSettings handles it: the settings have not
	// been read yet.
	signal.Ignore(syscall.SIGHUP)
	var a Arguments
	code, done := Parse(program, os.Args[1:], &a, os.Stdout, os.Stderr)
	if done {
		return code
	}
	if err := run(ctx, a); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		return ExitFailed
	}
	return ExitOK
}

// Parse parses a command line into dst. If done is true, the program must exit
// with code: help or the version was printed, or the command line is invalid.
func Parse(program string, args []string, dst any, stdout, stderr io.Writer) (code int, done bool) {
	p, err := arg.NewParser(arg.Config{Program: program, Out: stderr}, dst)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed, true
	}
	err = p.Parse(args)
	switch {
	case err == nil:
		return ExitOK, false
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelpForSubcommand(stdout, p.SubcommandNames()...)
		return ExitOK, true
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(stdout, "laureltally "+Version)
		return ExitOK, true
	default:
		p.WriteUsageForSubcommand(stderr, p.SubcommandNames()...)
		fmt.Fprintln(stderr, "error:", err)
		return ExitUsage, true
	}
}
