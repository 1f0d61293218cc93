package ingress

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/laureltally/laureltally/internal/wait"
	"github.com/laureltally/laureltally/quarantine"
	"github.com/laureltally/laureltally/quarantine/findingstore"
	"github.com/laureltally/laureltally/upstreamhttp"
)

const (
	// maxQueuedFindings bounds the findings that wait to be stored. After a loss of
	// power many servers have crashed, and none of that matters.
	maxQueuedFindings = 8
	// findingInterval is the minimum time between two findings that a router stores.
	findingInterval = 500 * time.Millisecond
	// findingTimeout bounds the calls that store one.
	findingTimeout = 2 * time.Second
	// crashReadTime is how long after a sign of a crash stored crashes are read.
	crashReadTime = 30 * time.Second
)

// sharedFindings is the state by which routers tell one another of crashes through the metadata store
// while no sidecar is in reach that would pass them on.
type sharedFindings struct {
	// queue holds what is to be stored.
	queue chan quarantine.News
	// readUntil is when reading ends, in nanoseconds since epoch.
	readUntil atomic.Int64
}

// shareFindings stores findings of which no sidecar was told. It does not wait. Tentative
// quarantines are left out: the others come to the same from the crashes, and they end soon.
func (s *Server) shareFindings(n quarantine.News) {
	n.Holds = slices.DeleteFunc(n.Holds, quarantine.Hold.Tentative)
	if n.Empty() {
		return
	}
	select {
	case s.sharedFindings.queue <- n:
	default:
		s.metrics.newsNotTold.Inc(1)
		s.o.Logger.Warn("finding dropped, too many wait to be stored")
	}
}

// observeAttemptError takes the error of an attempt. A server that refuses connections or
// breaks them off may have crashed.
func (s *Server) observeAttemptError(err error) {
	var lost *upstreamhttp.ConnectionError
	if errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &lost) {
		s.observeSignOfCrash()
	}
}

// observeSignOfCrash makes the crashes that other routers have stored be read for some time.
func (s *Server) observeSignOfCrash() {
	s.sharedFindings.readUntil.Store(int64(s.o.Now().Sub(s.epoch) + crashReadTime))
}

// storeFindings stores what is queued until ctx ends.
func (s *Server) storeFindings(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-s.sharedFindings.queue:
			if err := s.storeFinding(ctx, n); err != nil {
				s.metrics.newsNotTold.Inc(1)
				s.o.Logger.WithError(err).Warn("finding not stored")
			}
			_ = wait.Sleep(ctx, findingInterval)
		}
	}
}

func (s *Server) storeFinding(ctx context.Context, n quarantine.News) error {
	ctx, cancel := context.WithTimeout(ctx, findingTimeout)
	defer cancel()
	var failed error
	for _, c := range n.Crashes {
		failed = errors.Join(failed, findingstore.SaveCrash(ctx, s.o.Store, c))
	}
	for _, h := range n.Holds {
		failed = errors.Join(failed, findingstore.SaveHold(ctx, s.o.Store, h))
	}
	return failed
}

// readFindings reads what other routers have stored while there are signs of crashes and no
// sidecar is in reach, until ctx ends.
func (s *Server) readFindings(ctx context.Context) {
	p := s.poller("stored findings")
	for wait.Sleep(ctx, s.o.PollInterval) == nil {
		now := s.o.Now()
		if int64(now.Sub(s.epoch)) >= s.sharedFindings.readUntil.Load() || len(s.newsHomes("", 1)) > 0 {
			continue
		}
		crashes, skipped, err := findingstore.LoadCrashes(ctx, s.o.Store, now)
		holds, skippedHolds, holdsErr := findingstore.LoadHolds(ctx, s.o.Store, now)
		p.Record(errors.Join(err, holdsErr), nil)
		s.logSkipped(slices.Concat(skipped, skippedHolds))
		s.observeNews(now, quarantine.News{Crashes: crashes, Holds: holds})
	}
}
