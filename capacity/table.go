package main

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
)

// Widths of the printed table, in characters.
const (
	minCell = 0
	tabStop = 8
	padding = 2
)

// table holds all measured series.
type table struct {
	all []series
}

// measure measures a series and appends it.
func (t *table) measure(s series, f func(n int) (float64, error)) error {
	if err := s.measure(f); err != nil {
		return fmt.Errorf("%s: %w", s.Quantity, err)
	}
	t.all = append(t.all, s)
	return nil
}

// addAtSize appends the last series again under another name, evaluated at another
// target size.
func (t *table) addAtSize(what string, at float64) {
	s := t.all[len(t.all)-1]
	s.Quantity, s.TargetSize = what, at
	t.all = append(t.all, s)
}

// print writes the table to w.
func (t *table) print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, minCell, tabStop, padding, ' ', 0)
	fmt.Fprintln(tw, "what\tby\tsizes\tvalues\tslope\tR²\tat\tcount\trate\tvalue\tbudget\tverdict\tbreaks at")
	for _, s := range t.all {
		printSeries(tw, s)
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

func printSeries(w io.Writer, s series) {
	l := fit(s.Xs, s.Ys)
	total := s.total(l)
	budget, breaks := "-", "-"
	if s.Budget > 0 {
		size, of := s.budgetReachedAt(l)
		budget, breaks = number(s.Budget), number(size)+" "+of
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.3f\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
		s.Quantity, s.SizeName, numbers(s.Xs), numbers(s.Ys), number(l.slope), l.r2,
		number(s.TargetSize), number(oneIfZero(s.Count)), number(oneIfZero(s.Rate)), number(total), budget, s.verdict(total), breaks)
}

func numbers(values []float64) string {
	out := make([]string, len(values))
	for i, v := range values {
		out[i] = number(v)
	}
	return strings.Join(out, " ")
}

// number formats v with four significant digits and without an exponent.
func number(v float64) string {
	const digits = 4
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(v, 'g', digits, 64), 64)
	if err != nil {
		return strconv.FormatFloat(v, 'g', digits, 64)
	}
	return strconv.FormatFloat(rounded, 'f', -1, 64)
}
