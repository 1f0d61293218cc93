package replay

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Group is models that are asked for in the same manner. Requests come in
// sessions; sessions begin near hours that are a habit of the model.
type Group struct {
	Name     string
	Models   int
	Priority ident.Priority
	// Habits is how many sessions a model has on a working day, each near an
	// hour of its own between FirstHour and LastHour.
	Habits              int
	FirstHour, LastHour float64
	// Likely is the chance that a session takes place on a working day.
	Likely float64
	// Jitter is the standard deviation of the start of a session.
	Jitter time.Duration
	// Length is the mean length of a session.
	Length time.Duration
	// Gap is the median time between the requests of a session.
	Gap time.Duration
	// Burst is the mean number of requests within the first seconds, from all
	// regions.
	Burst float64
	// Background is the mean time between single requests at any hour. Zero
	// means that there are none.
	Background time.Duration
	// Season multiplies the chance and the burst in the last days of the run.
	Season float64
	// Deadline is when the first token is due after the request.
	Deadline time.Duration
}
