package residency

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/ident"
)

const (
	// expectedRetryTTL is how long a refused caller is expected to retry.
	expectedRetryTTL = 10 * time.Second
	// maxExpectedRetries bounds the number of remembered models.
	maxExpectedRetries = 16
)

// expectedRetry is a model for which a refused caller is expected to retry.
type expectedRetry struct {
	model ident.Model
	until time.Time
}

// expectRetry records the model of a refused request, so that it is loaded by the
// time the caller retries.
func (s *Scheduler) expectRetry(now time.Time, name ident.Model) {
	s.expectedRetries = slices.DeleteFunc(s.expectedRetries, func(retry expectedRetry) bool { return retry.model == name || !now.Before(retry.until) })
	if len(s.expectedRetries) < maxExpectedRetries {
		s.expectedRetries = append(s.expectedRetries, expectedRetry{model: name, until: now.Add(expectedRetryTTL)})
	}
}
