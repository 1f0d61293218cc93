package sidecar

import (
	"time"

	"github.com/laureltally/laureltally/wire"
)

// recordPace updates the metrics of the engine's pace. The caller holds mu.
func (s *Sidecar) recordPace() {
	now := s.o.Now()
	pace := s.scheduler.Pace(now)
	if !pace.InForce {
		return
	}
	rate, _ := s.scheduler.Prefill(now)
	_, limit, _ := s.scheduler.Load(now)
	s.o.Metrics.Gauge("engine_event_seconds").Update(pace.EventTime.Seconds())
	s.o.Metrics.Gauge("engine_slowness").Update(pace.Slowness)
	s.o.Metrics.Gauge("engine_prefill_tokens_per_ms").Update(rate)
	s.o.Metrics.Gauge("engine_concurrency").Update(float64(limit))
}

// roundTrip returns the round-trip time of the connection to a router, or zero if it has ended.
func (s *Sidecar) roundTrip(router wire.Hello) time.Duration {
	for _, c := range s.listener.Conns() {
		if c.Peer().VM == router.VM {
			return c.RoundTrip()
		}
	}
	return 0
}
