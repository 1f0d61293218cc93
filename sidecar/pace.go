package sidecar

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
