package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Widths of the printed table, in characters.
const (
	minCell = 0
	tabStop = 8
	padding = 2
)

// table holds the rows to print.
type table struct {
	rows []row
}

// add appends a row.
func (t *table) add(r row) { t.rows = append(t.rows, r) }

// print writes the table to w.
func (t *table) print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, minCell, tabStop, padding, ' ', 0)
	fmt.Fprintln(tw, "section\tfigure\ttarget\tbaseline\tours\tverdict")
	for _, r := range t.rows {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%s\n", r.Section, r.Figure, r.Target, r.Baseline, r.Ours, r.Verdict)
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}
