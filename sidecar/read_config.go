package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/laureltally/laureltally/decisionlog"
	"github.com/laureltally/laureltally/internal/wait"
	"github.com/laureltally/laureltally/metastore"
)

// readConfig keeps the machine's description of the engine current.
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
				s.machine.Configure(sv.Engine)
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

// firstReadPause is the pause between reads before the first that succeeds.
const firstReadPause = 150 * time.Millisecond
