package audit

import (
	"strings"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// timeLayout is the layout of times in keys. All times are in UTC, so that keys sort
// by time.
const timeLayout = "20060102T150405.000000000Z"

// Key returns the object key of a record.
func Key(r Record) string {
	return prefix(r.Environment) + r.Time.UTC().Format(timeLayout) + "-" + r.ID
}

func prefix(e ident.Environment) string { return "audit/" + string(e) + "/" }

// rangePrefix returns the longest common prefix of all keys in a time range; a zero
// time leaves that end of the range open.
func rangePrefix(e ident.Environment, from, to time.Time) string {
	if from.IsZero() || to.IsZero() {
		return prefix(e)
	}
	first, last := from.UTC().Format(timeLayout), to.UTC().Format(timeLayout)
	common := 0
	for common < len(first) && first[common] == last[common] {
		common++
	}
	return prefix(e) + strings.Clone(first[:common])
}
