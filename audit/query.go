package audit

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Query chooses records. A zero time leaves that end of the range open, an
// empty actor matches all.
type Query struct {
	Environment ident.Environment
	// From is the first time that matches and To the first that doesn't.
	From, To time.Time
	Actor    string
}

func (q Query) matches(r Record) bool {
	return (q.From.IsZero() || !r.Time.Before(q.From)) &&
		(q.To.IsZero() || r.Time.Before(q.To)) &&
		(q.Actor == "" || r.Actor == q.Actor)
}
