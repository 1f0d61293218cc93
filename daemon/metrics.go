package daemon

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	prom "github.com/prometheus/client_golang/prometheus"
)

// metricsInterval is the interval at which metrics are passed to the reporter.
const metricsInterval = time.Second

// Metrics is a root scope with the HTTP handler that serves its metrics.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns a scope with the prefix laureltally_<program>.
func NewMetrics(program string) *Metrics {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "laureltally_" + program,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, metricsInterval)
	// The counter distinguishes an idle process from one that serves no metrics.
	scope.Counter("starts").Inc(1)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close reports the last values and stops reporting.
func (m *Metrics) Close() { _ = m.closer.Close() }
