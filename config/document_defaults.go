package config

import "time"

// Defaults of a document.
const (
	DefaultConcurrency       = 8
	DefaultParallelLoads     = 4
	DefaultParallelAdapters  = 32
	DefaultRequestsPerSecond = 100
	DefaultBurst             = 200
	DefaultDeadline          = time.Minute
	DefaultMaxDeadline       = 10 * time.Minute
	DefaultMaxBodyBytes      = 4 << 20
	DefaultKeyRetention      = 24 * time.Hour
)

func (d *Document) setDefaults() {
	d.Aim.setDefaults()
	d.Store.setDefaults()
	d.Limits.setDefaults()
}

func (a *Aim) setDefaults() { *a = Aim{ColdStart: 1, IdleHours: 1} }

func (m *Model) setDefaults() { m.Concurrency = DefaultConcurrency }

func (s *WeightStore) setDefaults() {
	s.ParallelLoads = DefaultParallelLoads
	s.ParallelAdapters = DefaultParallelAdapters
}

func (l *Limits) setDefaults() {
	*l = Limits{
		RequestsPerSecond: DefaultRequestsPerSecond,
		Burst:             DefaultBurst,
		DefaultDeadline:   Duration(DefaultDeadline),
		MaxDeadline:       Duration(DefaultMaxDeadline),
		MaxBodyBytes:      DefaultMaxBodyBytes,
		KeyRetention:      Duration(DefaultKeyRetention),
	}
}
