package audit

import (
	"strings"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// timeLayout sorts as times do. It is always written in UTC.
const timeLayout = "20060102T150405.000000000Z"

// Key returns the key of a record's object.
func Key(r Record) string {
	return prefix(r.Environment) + r.Time.UTC().Format(timeLayout) + "-" + r.ID
}

func prefix(e ident.Environment) string { return "audit/" + string(e) + "/" }

// rangePrefix returns the longest prefix that all keys of a range share.
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
