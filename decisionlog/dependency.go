package decisionlog

import "github.com/apex/log"

// Dependency logs when a dependency of a process stops or starts working. It is not
// safe for concurrent use.
type Dependency struct {
	Name   string
	Logger log.Interface
	failed bool
}

// Record takes the result of a use and logs a change of state with the given fields.
func (d *Dependency) Record(err error, fields log.Fields) {
	l := d.Logger.WithField("dependency", d.Name).WithFields(fields)
	switch {
	case err != nil && !d.failed:
		l.WithError(err).Warn("dependency lost")
	case err == nil && d.failed:
		l.Info("dependency regained")
	}
	d.failed = err != nil
}
