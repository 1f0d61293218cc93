package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// output prints the result of a command.
type output struct{ w io.Writer }

// tablePadding is the number of spaces between the columns of a table.
const tablePadding = 2

func (o *output) printf(format string, args ...any) { fmt.Fprintf(o.w, format, args...) }

// json prints a value as JSON.
func (o *output) json(v any) error {
	e := json.NewEncoder(o.w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

// table prints rows of cells in columns.
func (o *output) table(rows [][]string) error {
	t := tabwriter.NewWriter(o.w, 0, 0, tablePadding, ' ', 0)
	for _, row := range rows {
		for _, cell := range row {
			fmt.Fprint(t, cell, "\t")
		}
		fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}
