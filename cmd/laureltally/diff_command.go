package main

import (
	"context"
	"io"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/document"
	"github.com/laureltally/laureltally/ident"
)

// diffCommand compares a document with another file or with a stored one.
type diffCommand struct {
	jsonFlag
	Old      string `arg:"positional,required" placeholder:"OLD" help:"file with a document, or - for the stored one"`
	New      string `arg:"positional,required" placeholder:"NEW" help:"file with a document, or - for the stored one"`
	Platform string `arg:"--platform,env:LAURELTALLY_PLATFORM" placeholder:"URL" help:"base URL of the object API"`
	Trial    bool   `arg:"--trial" help:"- is the document of trial"`
}

// storedDocument stands for the stored document on the command line.
const storedDocument = "-"

func (c *diffCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	out := &output{w: stdout}
	if c.Old == storedDocument && c.New == storedDocument {
		return &usageError{detail: "one of the documents must be a file"}
	}
	before, after, err := c.documents(ctx)
	if err != nil {
		return err
	}
	changes := config.Diff(before, after)
	if c.JSON {
		return out.json(append([]config.Change{}, changes...))
	}
	printChanges(out, changes)
	return nil
}

func (c *diffCommand) documents(ctx context.Context) (before, after config.Document, err error) {
	if c.Old == storedDocument {
		if after, err = config.ReadDocumentFile(c.New); err == nil {
			before, err = c.stored(ctx, after.Environment)
		}
		return before, after, err
	}
	if before, err = config.ReadDocumentFile(c.Old); err != nil {
		return before, after, err
	}
	if c.New == storedDocument {
		after, err = c.stored(ctx, before.Environment)
	} else {
		after, err = config.ReadDocumentFile(c.New)
	}
	return before, after, err
}

// stored reads the stored document of the environment that the file names.
func (c *diffCommand) stored(ctx context.Context, e ident.Environment) (config.Document, error) {
	if c.Platform == "" {
		return config.Document{}, &usageError{detail: "--platform is needed for the stored document"}
	}
	client, err := platformFlags{Platform: c.Platform}.client()
	if err != nil {
		return config.Document{}, err
	}
	defer client.Close()
	slot := slotOf(c.Trial)
	stored, err := document.New(document.Options{Store: client}).Read(ctx, e, slot)
	if err != nil {
		return config.Document{}, err
	}
	if stored.Version == 0 {
		return config.Document{}, &document.MissingError{Environment: e, Slot: slot}
	}
	return stored.Parse()
}

func slotOf(trial bool) document.Slot {
	if trial {
		return document.SlotTrial
	}
	return document.SlotProduction
}

// printChanges prints one line a change.
func printChanges(out *output, changes []config.Change) {
	for _, c := range changes {
		switch c.Kind {
		case config.ChangeAdded:
			out.printf("+ %s = %s\n", c.Path, c.New)
		case config.ChangeRemoved:
			out.printf("- %s = %s\n", c.Path, c.Old)
		default:
			out.printf("~ %s: %s -> %s\n", c.Path, c.Old, c.New)
		}
	}
}
