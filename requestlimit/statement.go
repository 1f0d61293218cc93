package requestlimit

import (
	"time"

	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/serving"
)

// Statement is what a server has said of its limit in a response.
type Statement struct {
	Server fleet.ServerStart
	Limit  serving.RequestLimit
	// SaidAt is when the response arrived.
	SaidAt time.Time
}

const (
	// newsShare is the fraction by which a limit must change to be told to others.
	newsShare = 0.1
	// renewInterval is the time after which a limit in force is told again, and
	// limitTTL the time after which it counts as ended if nobody has.
	renewInterval = 5 * time.Second
	limitTTL      = 4 * renewInterval
)

// newsAfter reports whether a statement tells more than an earlier one.
func (s *Statement) newsAfter(old *Statement) bool {
	if s.Limit.Named != old.Limit.Named {
		return true
	}
	change := s.Limit.PerSecond - old.Limit.PerSecond
	return max(change, -change) > newsShare*old.Limit.PerSecond || s.Limit.Named && s.SaidAt.Sub(old.SaidAt) >= renewInterval
}
