package decisionlog

import "github.com/apex/log"

// Dependency logs when something that a process needs stops or starts working.
// It is not safe for concurrent use.
type Dependency struct {
	Name   string
	Logger log.Interface
	lost   bool
}

// Record takes the outcome of a use, with fields for the line if it changes.
func (d *Dependency) Record(err error, fields log.Fields) {
	l := d.Logger.WithField("dependency", d.Name).WithFields(fields)
	switch {
	case err != nil && !d.lost:
		l.WithError(err).Warn("dependency lost")
	case err == nil && d.lost:
		l.Info("dependency regained")
	}
	d.lost = err != nil
}
