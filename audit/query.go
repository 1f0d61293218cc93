package audit

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Query selects records. A zero time leaves that end of the range open; an empty
// actor matches all actors.
type Query struct {
	Environment ident.Environment
	// From is inclusive, To is exclusive.
	From, To time.Time
	Actor    string
}

func (q Query) matches(r Record) bool {
	return (q.From.IsZero() || !r.Time.Before(q.From)) &&
		(q.To.IsZero() || r.Time.Before(q.To)) &&
		(q.Actor == "" || r.Actor == q.Actor)
}
