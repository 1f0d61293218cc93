package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/laureltally/laureltally/metastore"
)

// readConfig keeps the machine's description of the engine current.
func (s *Sidecar) readConfig(ctx context.Context) {
	known, lost := false, false
	for ctx.Err() == nil {
		c, err := s.o.Directory.Config(ctx)
		var none *metastore.NotFoundError
		switch {
		case errors.As(err, &none):
		case err != nil:
			if !lost {
				s.o.Logger.WithField("dependency", "configuration").WithError(err).Warn("dependency lost")
			}
			lost = true
		default:
			if lost {
				s.o.Logger.WithField("dependency", "configuration").Info("dependency regained")
			}
			lost = false
			if sv := c.Services[s.o.Settings.Service]; sv != nil && sv.Engine != nil {
				known = true
				s.mu.Lock()
				s.machine.Configure(sv.Engine)
				s.mu.Unlock()
			}
		}
		pause := s.o.ConfigInterval
		if !known {
			pause = firstReadPause
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// firstReadPause is the pause between reads before the first that succeeds.
const firstReadPause = 150 * time.Millisecond
