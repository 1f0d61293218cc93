package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/laureltally/laureltally/config"
)

// The kinds of files that can be checked.
const (
	checkDocument = "document"
	checkRouter   = "router"
	checkAgent    = "agent"
)

// checkCommand checks documents and settings files.
type checkCommand struct {
	jsonFlag
	Kind  string   `arg:"--kind" default:"document" help:"document, router or agent"`
	Files []string `arg:"positional,required" placeholder:"FILE"`
}

func (c *checkCommand) run(_ context.Context, stdout, _ io.Writer) error {
	out := &output{w: stdout}
	check, err := c.checker()
	if err != nil {
		return err
	}
	results := make([]checkResult, len(c.Files))
	invalid := 0
	for i, file := range c.Files {
		results[i] = checkFile(file, check)
		if !results[i].Valid {
			invalid++
		}
	}
	if err := c.print(out, results); err != nil {
		return err
	}
	if invalid > 0 {
		return &invalidFilesError{files: invalid}
	}
	return nil
}

// checker returns the function that checks files of the selected kind.
func (c *checkCommand) checker() (func([]byte) error, error) {
	switch c.Kind {
	case checkDocument:
		return func(text []byte) error { _, err := config.ReadDocument(text); return err }, nil
	case checkRouter:
		return func(text []byte) error { _, err := config.ReadRouterSettings(text); return err }, nil
	case checkAgent:
		return func(text []byte) error { _, err := config.ReadAgentSettings(text); return err }, nil
	default:
		return nil, &usageError{detail: fmt.Sprintf("--kind %q is not document, router or agent", c.Kind)}
	}
}

func checkFile(file string, check func([]byte) error) checkResult {
	r := checkResult{File: file}
	text, err := os.ReadFile(file)
	if err == nil {
		err = check(text)
	}
	var invalid *config.InvalidError
	switch {
	case err == nil:
		r.Valid = true
	case errors.As(err, &invalid):
		r.Problems = invalid.Problems
	default:
		r.Error = err.Error()
	}
	return r
}

func (c *checkCommand) print(out *output, results []checkResult) error {
	if c.JSON {
		return out.json(results)
	}
	for _, r := range results {
		switch {
		case r.Valid:
			out.printf("%s: valid\n", r.File)
		case r.Error != "":
			out.printf("%s: %s\n", r.File, r.Error)
		}
		for i := range r.Problems {
			out.printf("%s:%v\n", r.File, &r.Problems[i])
		}
	}
	return nil
}
