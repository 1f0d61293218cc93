package replay

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Group describes models with the same request pattern. Requests come in sessions,
// which begin near hours of the day that are drawn for each model.
type Group struct {
	Name     string
	Models   int
	Priority ident.Priority
	// SessionsPerDay is how many sessions a model has at most on a working day,
	// each near its own hour between FirstHour and LastHour.
	SessionsPerDay      int
	FirstHour, LastHour float64
	// SessionProbability is the probability of each of these sessions.
	SessionProbability float64
	// StartJitter is the standard deviation of the start of a session.
	StartJitter time.Duration
	// SessionLength is the median length of a session.
	SessionLength time.Duration
	// MedianGap is the median time between the requests of a session.
	MedianGap time.Duration
	// MeanBurst is the mean number of requests within the first seconds of a
	// session, from all regions.
	MeanBurst float64
	// BackgroundInterval is the mean time between single requests at any hour.
	// Zero means that there are none.
	BackgroundInterval time.Duration
	// SeasonFactor multiplies SessionProbability and MeanBurst in the last days
	// of the replay.
	SeasonFactor float64
	// FirstTokenTimeout is the time from a request to the deadline of its first
	// token.
	FirstTokenTimeout time.Duration
}
