package main

import (
	"context"
	"io"
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/document"
	"github.com/laureltally/laureltally/ident"
)

// diffCommand compares two documents, of which one may be the stored document.
type diffCommand struct {
	jsonFlag
	Old      string `arg:"positional,required" placeholder:"OLD" help:"file with a document, or - for the stored one"`
	New      string `arg:"positional,required" placeholder:"NEW" help:"file with a document, or - for the stored one"`
	Platform string `arg:"--platform,env:LAURELTALLY_PLATFORM" placeholder:"URL" help:"base URL of the object API"`
	Trial    bool   `arg:"--trial" help:"with -: the stored trial document instead of the production document"`
}

// storedDocument is the argument that selects the stored document.
const storedDocument = "-"

func (c *diffCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	out := &output{w: stdout}
	if c.Old == storedDocument && c.New == storedDocument {
		return &usageError{detail: "one of the documents must be a file"}
	}
	r, err := c.compare(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return out.json(r)
	}
	if r.Stored != nil {
		out.printf("stored: version %d by %s at %s, digest %s\n", r.Stored.Version, r.Stored.Actor, r.Stored.Time.Format(time.RFC3339), r.Stored.Digest)
	}
	printChanges(out, r.Changes)
	return nil
}

func (c *diffCommand) compare(ctx context.Context) (diffResult, error) {
	var (
		r             diffResult
		before, after config.Document
		err           error
	)
	switch {
	case c.Old == storedDocument:
		after, before, r.Stored, err = c.withStored(ctx, c.New)
	case c.New == storedDocument:
		before, after, r.Stored, err = c.withStored(ctx, c.Old)
	default:
		if before, err = config.ReadDocumentFile(c.Old); err == nil {
			after, err = config.ReadDocumentFile(c.New)
		}
	}
	r.Changes = append([]config.Change{}, config.Diff(before, after)...)
	return r, err
}

// withStored reads a document from a file and the stored document of the same
// environment.
func (c *diffCommand) withStored(ctx context.Context, file string) (local, stored config.Document, info *storedInfo, err error) {
	if local, err = config.ReadDocumentFile(file); err != nil {
		return local, stored, nil, err
	}
	s, err := c.read(ctx, local.Environment)
	if err != nil {
		return local, stored, nil, err
	}
	stored, err = s.Parse()
	return local, stored, &storedInfo{Version: s.Version, Actor: s.Actor, Time: s.Time, Digest: s.Digest}, err
}

func (c *diffCommand) read(ctx context.Context, e ident.Environment) (document.Stored, error) {
	if c.Platform == "" {
		return document.Stored{}, &usageError{detail: "--platform is required for the stored document"}
	}
	client, err := platformFlags{Platform: c.Platform}.client()
	if err != nil {
		return document.Stored{}, err
	}
	defer client.Close()
	stage := stageOf(c.Trial)
	s, err := document.New(document.Options{Store: client}).Read(ctx, e, stage)
	if err == nil && s.Version == 0 {
		err = &document.NotFoundError{Environment: e, Stage: stage}
	}
	return s, err
}

func stageOf(trial bool) document.Stage {
	if trial {
		return document.StageTrial
	}
	return document.StageProduction
}

// printChanges prints one line per change.
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
