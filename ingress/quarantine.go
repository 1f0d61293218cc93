package ingress

import (
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/quarantine"
)

// quarantineHomes is the number of sidecars in the router's region that are told of a
// crash or quarantine, and pass it on to all routers.
const quarantineHomes = 2

// maxNoticed bounds the crashes that a router tells again to sidecars that connect.
const maxNoticed = 32

// quarantineState guards the quarantine decisions of one router.
type quarantineState struct {
	mu       sync.Mutex
	detector *quarantine.Detector
	// scheduled is set once the decision on crashes from before the start has been scheduled.
	scheduled bool
	// noticed holds the servers whose crashes this router has noticed itself, the newest
	// last.
	noticed []fleet.ServerStart
	// readOnce is closed after the first attempt to read the stored findings.
	readOnce chan struct{}
}

// suspected reports whether a request may have crashed a server before.
func (s *Server) suspected(traits []ident.Trait) bool {
	_, requests := ident.SplitTraits(traits)
	s.quarantine.mu.Lock()
	defer s.quarantine.mu.Unlock()
	return slices.ContainsFunc(requests, s.quarantine.detector.Suspected)
}

// known returns what a sidecar has to be told that knows nothing: the quarantines in force, and
// the crashes that this router has noticed itself.
func (s *Server) known(now time.Time) quarantine.News {
	q := &s.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	return quarantine.News{Crashes: q.detector.Recent(now, q.noticed), Holds: q.detector.Holds(now)}
}

// notice records a crash that this router has noticed itself.
func (q *quarantineState) notice(server fleet.ServerStart) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.noticed) >= maxNoticed {
		q.noticed = slices.Delete(q.noticed, 0, 1)
	}
	q.noticed = append(q.noticed, server)
}

// observeNews takes what other processes have found, and tells them of the quarantines
// that follow.
func (s *Server) observeNews(now time.Time, n quarantine.News) {
	if n.Empty() {
		return
	}
	q := &s.quarantine
	q.mu.Lock()
	var decided, learned []quarantine.Hold
	var ignored []quarantine.Crash
	var sound []quarantine.Sound
	for _, p := range n.Sound {
		q.detector.ObserveSound(p)
	}
	for _, h := range n.Holds {
		if q.detector.ObserveHold(now, h) {
			learned = append(learned, h)
		}
	}
	for _, c := range n.Crashes {
		if !q.detector.Counts(now, c) {
			ignored = append(ignored, c)
		} else if !q.detector.Knows(c.Server) {
			sound = append(sound, q.detector.SoundSince(c)...)
		}
		decided = append(decided, q.detector.ObserveCrash(now, c)...)
	}
	s.scheduleDecision(now)
	q.mu.Unlock()
	for _, c := range ignored {
		_, requests := ident.SplitTraits(c.Traits)
		s.o.Logger.WithFields(log.Fields{"server": c.Server.Address, "started": c.Server.Started, "age_ms": ms(now.Sub(c.At)), "requests": ident.JoinTraits(requests)}).Info("crash does not count")
	}
	for _, h := range learned {
		s.logHold(now, h, "other process")
	}
	s.tellSound(sound)
	s.tellHolds(now, decided)
}

// scheduleDecision makes the crashes from before the start be decided on once they count. The
// caller holds the lock of the detector.
func (s *Server) scheduleDecision(now time.Time) {
	q := &s.quarantine
	if at := q.detector.DecideAt(); at.After(now) && !q.scheduled {
		q.scheduled = true
		time.AfterFunc(at.Sub(now), func() {
			now := s.o.Now()
			q.mu.Lock()
			holds := q.detector.Decide(now)
			q.mu.Unlock()
			s.tellHolds(now, holds)
		})
	}
}

// tellHolds tells other processes of quarantines that this one has decided.
func (s *Server) tellHolds(now time.Time, holds []quarantine.Hold) {
	for _, h := range holds {
		s.logHold(now, h, "crashes of servers")
		s.tellOrShare(h.Trait.String(), quarantine.News{Holds: []quarantine.Hold{h}})
	}
}

func (s *Server) logHold(now time.Time, h quarantine.Hold, source string) {
	s.metrics.quarantines.Inc(1)
	f := log.Fields{"trait": h.Trait.String(), "request": h.Trait.OfRequest(), "remaining_ms": ms(h.Until.Sub(now)), "source": source}
	if e := h.Evidence; e.Crashes > 0 {
		f["crashes"], f["spaced"], f["shared"] = e.Crashes, e.Spaced, e.Shared
	}
	s.o.Logger.WithFields(f).Warn("requests quarantined")
}
