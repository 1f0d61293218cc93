package daemon

import (
	"fmt"
	"os"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/keys"
	"github.com/laureltally/laureltally/metastore/objecthttp"
)

// Components holds what every daemon needs: logger, credentials, client of the
// platform's object API, and metrics.
type Components struct {
	Logger      log.Interface
	Credentials *keys.Reloader
	Platform    *objecthttp.Client
	Metrics     *Metrics
}

// ComponentsOptions holds the settings that NewComponents needs.
type ComponentsOptions struct {
	// Program is the last element of the metrics prefix.
	Program string
	VM      ident.VM
	// Platform is the base URL of the platform's object API.
	Platform string
	TLS      config.TLSSettings
	Log      config.LogSettings
}

// NewComponents returns new components. Logs are written to standard error. The
// caller must close Metrics.
func NewComponents(o ComponentsOptions) (*Components, error) {
	logger, err := NewLogger(os.Stderr, o.Log, o.VM)
	if err != nil {
		return nil, err
	}
	credentials, err := keys.NewReloader(keys.ReloaderOptions{CA: o.TLS.CA, Certificate: o.TLS.Cert, Key: o.TLS.Key, Logger: logger})
	if err != nil {
		return nil, fmt.Errorf("load credentials: %w", err)
	}
	client, err := objecthttp.New(objecthttp.Options{BaseURL: o.Platform})
	if err != nil {
		return nil, fmt.Errorf("create platform client: %w", err)
	}
	return &Components{Logger: logger, Credentials: credentials, Platform: client, Metrics: NewMetrics(o.Program)}, nil
}
