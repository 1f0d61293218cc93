package ingress

import (
	"net/http"
	"time"
)

// configRetryAfter is the retry delay of requests for a model that is not configured: it may have
// been added just now.
const configRetryAfter = time.Second

// refusedAsUnservable responds to a request that no engine of the service can serve, as its model
// is not configured or its prompt exceeds their cache, and reports whether it did.
func (d *delivery) refusedAsUnservable() bool {
	if d.requirements.Model == "" {
		return false
	}
	e := d.snap.Config.Engine(d.requirements.Service)
	switch {
	case e.Model(d.requirements.Model) == nil:
		d.finish(stepRefuse, http.StatusServiceUnavailable, "model not configured", configRetryAfter)
	case e.ExceedsCache(d.info.PromptTokens):
		// An earlier retry is of no use.
		d.finish(stepRefuse, http.StatusServiceUnavailable, "prompt exceeds the cache of every engine", d.deadline.Sub(d.s.o.Now()))
	default:
		return false
	}
	return true
}
