package daemon

import (
	"os"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/decisionlog"
	"github.com/laureltally/laureltally/ident"
)

// HostedParts are what every daemon of a hosted installation is built from.
type HostedParts struct {
	Logger  log.Interface
	Metrics *Metrics
	trail   *decisionlog.Writer
}

// Reloaded logs that changed settings were read. Addresses to listen on and the
// log's level stay as they were until the next start.
func (p *HostedParts) Reloaded(signalled bool, s config.LogSettings) {
	p.Logger.WithFields(log.Fields{"signal": signalled, "log_level": s.Level}).Info("settings reloaded")
}

// NewHostedParts builds the parts. Logs go to standard output and never block;
// Close writes the last of them.
func NewHostedParts(program string, vm ident.VM, s config.LogSettings) (*HostedParts, error) {
	w := decisionlog.New(os.Stdout, decisionlog.Options{})
	logger, err := NewLogger(w, s, vm)
	if err != nil {
		return nil, err
	}
	return &HostedParts{Logger: logger, Metrics: NewMetrics(program), trail: w}, nil
}

// Close writes what is queued.
func (p *HostedParts) Close() {
	p.Metrics.Close()
	_ = p.trail.Close()
}
