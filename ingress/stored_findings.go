package ingress

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/internal/wait"
	"github.com/laureltally/laureltally/quarantine"
	"github.com/laureltally/laureltally/quarantine/findingstore"
)

// findingsReadTimeout is how long a router that has started waits at most for the stored
// findings before it reads the configuration, without which it serves nothing.
const findingsReadTimeout = 250 * time.Millisecond

// loadFindings reads the stored quarantines and crashes until it succeeds.
func (s *Server) loadFindings(ctx context.Context) {
	p := s.poller("stored findings")
	first := sync.OnceFunc(func() { close(s.quarantine.readOnce) })
	for ctx.Err() == nil {
		err := s.readStored(ctx)
		p.Record(err, nil)
		first()
		if err == nil {
			return
		}
		_ = wait.Sleep(ctx, p.pause(s.o.PollInterval, err))
	}
}

// readStored reads the stored quarantines and crashes once.
func (s *Server) readStored(ctx context.Context) error {
	now := s.o.Now()
	holds, skippedHolds, holdsErr := findingstore.LoadHolds(ctx, s.o.Store, now)
	crashes, skipped, err := findingstore.LoadCrashes(ctx, s.o.Store, now)
	s.logSkipped(slices.Concat(skipped, skippedHolds))
	s.observeNews(now, quarantine.News{Crashes: s.storedCrashes(now, crashes), Holds: holds})
	return errors.Join(holdsErr, err)
}

// awaitFindings waits for the first attempt to read the stored findings.
func (s *Server) awaitFindings(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, findingsReadTimeout)
	defer cancel()
	select {
	case <-s.quarantine.readOnce:
	case <-ctx.Done():
	}
}

// logSkipped logs stored findings that could not be read, or not be deleted when they were old.
func (s *Server) logSkipped(skipped []error) {
	for _, e := range skipped {
		s.o.Logger.WithError(e).Warn("stored finding skipped")
	}
}

// storedCrashes returns what this router may conclude from stored crashes. What was sound is not
// stored, so that those from before its start say nothing about prompt parts. The clock of the
// process that wrote them may be ahead.
func (s *Server) storedCrashes(now time.Time, crashes []quarantine.Crash) []quarantine.Crash {
	for i := range crashes {
		c := &crashes[i]
		if c.At.After(now) {
			c.At = now
		}
		if c.At.Before(s.epoch) {
			_, c.Traits = ident.SplitTraits(c.Traits)
		}
	}
	return crashes
}
