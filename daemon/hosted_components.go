package daemon

import (
	"os"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/decisionlog"
	"github.com/laureltally/laureltally/ident"
)

// HostedComponents holds the logger and the metrics of a daemon of a hosted
// installation.
type HostedComponents struct {
	Logger    log.Interface
	Metrics   *Metrics
	logWriter *decisionlog.Writer
}

// LogReload logs that changed settings were loaded; signalled reports whether SIGHUP
// was received. Listen addresses and the log level change only at the next start.
func (c *HostedComponents) LogReload(signalled bool, s config.LogSettings) {
	c.Logger.WithFields(log.Fields{"signal": signalled, "log_level": s.Level}).Info("settings reloaded")
}

// NewHostedComponents returns new components. Logs are written to standard output
// and never block; Close writes the queued entries.
func NewHostedComponents(program string, vm ident.VM, s config.LogSettings) (*HostedComponents, error) {
	w := decisionlog.New(os.Stdout, decisionlog.Options{})
	logger, err := NewLogger(w, s, vm)
	if err != nil {
		return nil, err
	}
	return &HostedComponents{Logger: logger, Metrics: NewMetrics(program), logWriter: w}, nil
}

// Close stops the metrics and writes the queued log entries.
func (c *HostedComponents) Close() {
	c.Metrics.Close()
	_ = c.logWriter.Close()
}
