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

// Parts are what every daemon is built from.
type Parts struct {
	Logger      log.Interface
	Credentials *keys.Reloader
	Platform    *objecthttp.Client
	Metrics     *Metrics
}

// PartsOptions names what NewParts needs of a daemon's settings.
type PartsOptions struct {
	// Program is the last part of the metrics' prefix.
	Program string
	VM      ident.VM
	// Platform is the base URL of the platform's object API.
	Platform string
	TLS      config.TLSSettings
	Log      config.LogSettings
}

// NewParts builds the parts. Logs go to standard error. The caller closes
// Metrics.
func NewParts(o PartsOptions) (*Parts, error) {
	logger, err := NewLogger(os.Stderr, o.Log, o.VM)
	if err != nil {
		return nil, err
	}
	credentials, err := keys.NewReloader(keys.ReloaderOptions{CA: o.TLS.CA, Certificate: o.TLS.Cert, Key: o.TLS.Key, Logger: logger})
	if err != nil {
		return nil, fmt.Errorf("credentials: %w", err)
	}
	client, err := objecthttp.New(objecthttp.Options{BaseURL: o.Platform})
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	return &Parts{Logger: logger, Credentials: credentials, Platform: client, Metrics: NewMetrics(o.Program)}, nil
}
