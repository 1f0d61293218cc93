package main

import (
	"fmt"
	"slices"
	"strings"
)

// spread collects one figure over seeds.
type spread []float64

func (s *spread) add(v float64) { *s = append(*s, v) }

func (s spread) least() float64 { return slices.Min(s) }
func (s spread) most() float64  { return slices.Max(s) }

// text prints the least and the most value in a format of one number.
func (s spread) text(format string) string {
	lo, hi := fmt.Sprintf(format, s.least()), fmt.Sprintf(format, s.most())
	if lo == hi {
		return lo
	}
	return lo + " to " + hi
}

// named is a baseline's spread.
type named struct {
	name   string
	spread spread
}

// baselineSpreads prints the spreads of baselines.
func baselineSpreads(format string, all ...named) string {
	parts := make([]string, 0, len(all))
	for _, n := range all {
		parts = append(parts, n.name+" "+n.spread.text(format))
	}
	return strings.Join(parts, "; ")
}
