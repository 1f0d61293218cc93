package main

import (
	"fmt"
	"slices"
	"strings"
)

// spread holds the values of one figure for all seeds.
type spread []float64

func (s *spread) add(v float64) { *s = append(*s, v) }

func (s spread) lowest() float64  { return slices.Min(s) }
func (s spread) highest() float64 { return slices.Max(s) }

// text formats the lowest and the highest value. format is that of one number.
func (s spread) text(format string) string {
	lo, hi := fmt.Sprintf(format, s.lowest()), fmt.Sprintf(format, s.highest())
	if lo == hi {
		return lo
	}
	return lo + " to " + hi
}

// named is the spread of a named baseline.
type named struct {
	name   string
	spread spread
}

// baselineSpreads formats the spreads of baselines.
func baselineSpreads(format string, all ...named) string {
	parts := make([]string, 0, len(all))
	for _, n := range all {
		parts = append(parts, n.name+" "+n.spread.text(format))
	}
	return strings.Join(parts, "; ")
}
