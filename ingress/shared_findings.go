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

// newsGapTime is how long after a sign of a crash, and after the loss of a sidecar, findings go
// through the metadata store too: a link to another region is missed for farIdleTimeout, and
// sidecars may restart one after the other.
const newsGapTime = 30 * time.Second

// sharedFindings is the state by which routers tell one another of crashes through the metadata store
// while sidecars may not pass them on.
type sharedFindings struct {
	writer *findingstore.Writer
	// readUntil is when reading ends unless there are further signs of crashes, and gapUntil
	// when sidecars are relied on again, both in nanoseconds since epoch.
	readUntil, gapUntil atomic.Int64
}

func newFindingWriter(s *Server) *findingstore.Writer {
	return findingstore.NewWriter(s.o.Store, func(err error) {
		s.metrics.newsNotTold.Inc(1)
		s.o.Logger.WithError(err).Warn("finding not stored")
	})
}

// shareFindings stores findings of which perhaps no sidecar tells others. It does not wait. Tentative
// quarantines are left out: the others come to the same from the crashes, and they end soon.
func (s *Server) shareFindings(n quarantine.News) {
	n.Holds = slices.DeleteFunc(slices.Clone(n.Holds), quarantine.Hold.Tentative)
	s.sharedFindings.writer.Add(n)
}

// sidecarsUncertain reports whether what sidecars are told may not reach all routers.
func (s *Server) sidecarsUncertain() bool {
	return int64(s.o.Now().Sub(s.epoch)) < s.sharedFindings.gapUntil.Load() || len(s.newsHomes("", 1)) == 0
}

// observeSidecarLost records that the link to a sidecar was lost, or that news to one were.
func (s *Server) observeSidecarLost() {
	s.sharedFindings.gapUntil.Store(int64(s.o.Now().Sub(s.epoch) + newsGapTime))
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
	s.sharedFindings.readUntil.Store(int64(s.o.Now().Sub(s.epoch) + newsGapTime))
}

// readFindings reads what others have stored while there are signs of crashes and sidecars may not
// pass it on, until ctx ends.
func (s *Server) readFindings(ctx context.Context) {
	p := s.poller("stored findings")
	for wait.Sleep(ctx, s.o.PollInterval) == nil {
		if int64(s.o.Now().Sub(s.epoch)) < s.sharedFindings.readUntil.Load() && s.sidecarsUncertain() {
			p.Record(s.readStored(ctx), nil)
		}
	}
}
