package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/laureltally/laureltally/decisionlog"
	"github.com/laureltally/laureltally/internal/wait"
	"github.com/laureltally/laureltally/metastore"
)

// readConfig reads the engine's description from the configuration at an interval and
// passes it to the scheduler.
func (s *Sidecar) readConfig(ctx context.Context) {
	known := false
	dependency := decisionlog.Dependency{Name: "configuration", Logger: s.o.Logger}
	for ctx.Err() == nil {
		c, err := s.o.Directory.Config(ctx)
		var none *metastore.NotFoundError
		if !errors.As(err, &none) {
			dependency.Record(err, nil)
		}
		if err == nil {
			if sv := c.Services[s.o.Settings.Service]; sv != nil && sv.Engine != nil {
				known = true
				s.mu.Lock()
				s.perform(s.scheduler.Configure(sv.Engine))
				s.mu.Unlock()
			}
		}
		pause := s.o.ConfigInterval
		if !known {
			pause = firstReadPause
		}
		_ = wait.Sleep(ctx, pause)
	}
}

// firstReadPause is the interval of reads until the first description is found.
const firstReadPause = 150 * time.Millisecond
