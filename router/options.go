package router

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/transport"
)

// Options configures a Server.
type Options struct {
	Settings    config.RouterSettings
	Store       metastore.Store
	VMs         metastore.VMLister
	Credentials transport.Credentials
	Incarnation ident.Incarnation
	Logger      log.Interface
	Metrics     tally.Scope
	// MetricsHandler serves the metrics. It may be nil.
	MetricsHandler http.Handler
	Now            func() time.Time
	Rand           *rand.Rand
	// BodyTimeout limits the time for receiving a request body.
	BodyTimeout time.Duration
}

func (o Options) withDefaults() Options {
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
	if o.BodyTimeout == 0 {
		o.BodyTimeout = bodyTimeout
	}
	return o
}
