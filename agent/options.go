package agent

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/transport"
)

// Options configures an Agent.
type Options struct {
	Settings    config.AgentSettings
	Store       metastore.Store
	Credentials transport.Credentials
	// Engine is the admin API of a model engine; nil beside a plain service.
	Engine engine.Client
	// HTTP sends idempotent requests to the upstream, and OnceHTTP all others.
	// OnceHTTP must not repeat a request by itself.
	HTTP        *http.Client
	OnceHTTP    *http.Client
	Incarnation ident.Incarnation
	Logger      log.Interface
	Metrics     tally.Scope
	// MetricsHandler serves the metrics to scrapers; it may be nil.
	MetricsHandler http.Handler
	Now            func() time.Time
	Rand           *rand.Rand
}

func (o Options) withDefaults() Options {
	if o.HTTP == nil {
		o.HTTP = newHTTPClient()
	}
	if o.OnceHTTP == nil {
		o.OnceHTTP = newOnceClient()
	}
	if o.Logger == nil {
		o.Logger = log.Log
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	for o.Incarnation == 0 {
		o.Incarnation = ident.Incarnation(rand.Uint64())
	}
	return o
}
