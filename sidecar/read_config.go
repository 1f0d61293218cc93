package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/decisionlog"
	"github.com/laureltally/laureltally/internal/wait"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/serving"
)

// readConfig reads the engine's description from the configuration at an interval, or earlier
// if a request names a model that it lacks, and passes it to the scheduler.
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
			s.adoptConfig(c)
			known = known || c.Engine(s.o.Settings.Service) != nil
		}
		pause := s.o.ConfigInterval
		if !known {
			pause = firstReadPause
		}
		wait.SleepEarly(ctx, pause, earlyConfigRead, s.configOutdated)
	}
}

// earlyConfigRead is the minimum time between two reads of the configuration.
const earlyConfigRead = time.Second

// adoptConfig passes the engine's description on if the configuration is newer than the last
// one. Without a description, the last one stays in force: requests may still run.
func (s *Sidecar) adoptConfig(c *serving.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.Supersedes(s.config) {
		return
	}
	s.config = c
	e := c.Engine(s.o.Settings.Service)
	if e == nil {
		return
	}
	s.perform(s.scheduler.Configure(e))
	s.o.Logger.WithFields(log.Fields{
		"revision": c.Revision, "version": c.Version, "models": len(e.Models), "retired": s.scheduler.Retired(),
	}).Info("configuration applied")
}

// firstReadPause is the interval of reads until the first description is found.
const firstReadPause = 150 * time.Millisecond
