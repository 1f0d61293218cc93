package replay

import (
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
)

// Muotiennuste is the deployment of a trend forecaster. Requests for outlooks come
// in bursts before buying deadlines, editors draft in sessions, colour notes are
// rare.
func Muotiennuste() Deployment {
	d := base("muotiennuste")
	d.Regions = []ident.Region{"uusimaa", "pirkanmaa", "pohjanmaa"}
	d.Store.LoadsPerSecond = 5
	d.Aim = config.Aim{ColdStart: 2, IdleHours: 1}
	d.MinAdapterLoad, d.MaxAdapterLoad = 7*time.Millisecond, 13*time.Millisecond
	d.Groups = []Group{
		{
			Name: "outlook", Models: 20, Priority: 0, SessionsPerDay: 2, FirstHour: 8, LastHour: 16, SessionProbability: 0.7,
			StartJitter: 30 * time.Minute, SessionLength: 50 * time.Minute, MedianGap: 40 * time.Second, MeanBurst: 8,
			BackgroundInterval: 36 * time.Hour, SeasonFactor: 1.4, FirstTokenTimeout: 2 * time.Minute,
		},
		{
			Name: "draft", Models: 25, Priority: 1, SessionsPerDay: 2, FirstHour: 7, LastHour: 17, SessionProbability: 0.5,
			StartJitter: time.Hour, SessionLength: 35 * time.Minute, MedianGap: 90 * time.Second, MeanBurst: 2,
			BackgroundInterval: 48 * time.Hour, SeasonFactor: 1, FirstTokenTimeout: 2 * time.Minute,
		},
		{
			Name: "colour note", Models: 20, Priority: 2, SessionsPerDay: 1, FirstHour: 6, LastHour: 20, SessionProbability: 0.2,
			StartJitter: 3 * time.Hour, SessionLength: 10 * time.Minute, MedianGap: 2 * time.Minute, MeanBurst: 1,
			BackgroundInterval: 30 * time.Hour, SeasonFactor: 1, FirstTokenTimeout: 4 * time.Minute,
		},
	}
	return d
}

// Nordfjell is the deployment of a studio booking service. Schedules are drafted
// before classes, questions come all day in the booking season, notes are
// summarised after sessions.
func Nordfjell() Deployment {
	d := base("nordfjell")
	d.Regions = []ident.Region{"vestland", "trøndelag", "nordland"}
	d.Store.LoadsPerSecond = 3
	d.Aim = config.Aim{ColdStart: 1, IdleHours: 2}
	d.MinAdapterLoad, d.MaxAdapterLoad = 5*time.Millisecond, 14*time.Millisecond
	d.Groups = []Group{
		{
			Name: "question", Models: 10, Priority: 0, SessionsPerDay: 3, FirstHour: 9, LastHour: 21, SessionProbability: 0.8,
			StartJitter: time.Hour, SessionLength: 60 * time.Minute, MedianGap: 2 * time.Minute, MeanBurst: 4,
			BackgroundInterval: 12 * time.Hour, SeasonFactor: 1.25, FirstTokenTimeout: 2 * time.Minute,
		},
		{
			Name: "schedule", Models: 30, Priority: 1, SessionsPerDay: 1, FirstHour: 7, LastHour: 12, SessionProbability: 0.4,
			StartJitter: 20 * time.Minute, SessionLength: 30 * time.Minute, MedianGap: 100 * time.Second, MeanBurst: 3,
			BackgroundInterval: 60 * time.Hour, SeasonFactor: 1.5, FirstTokenTimeout: 2 * time.Minute,
		},
		{
			Name: "note", Models: 25, Priority: 2, SessionsPerDay: 1, FirstHour: 15, LastHour: 22, SessionProbability: 0.25,
			StartJitter: 2 * time.Hour, SessionLength: 10 * time.Minute, MedianGap: 3 * time.Minute, MeanBurst: 1,
			BackgroundInterval: 48 * time.Hour, SeasonFactor: 1, FirstTokenTimeout: 4 * time.Minute,
		},
	}
	return d
}

// Memoryless has the sizes of Muotiennuste, but its requests arrive as a Poisson
// process, so that history predicts nothing but the mean rate.
func Memoryless() Deployment {
	d := Muotiennuste()
	d.Name = "memoryless"
	d.Groups = []Group{
		{Name: "any", Models: 65, BackgroundInterval: 40 * time.Minute, FirstTokenTimeout: 2 * time.Minute},
	}
	return d
}

// base returns the settings that the deployments share.
func base(name string) Deployment {
	return Deployment{
		Name:     name,
		Replicas: 12,
		MemoryMB: 80 * mbPerGB,
		HostMB:   40 * mbPerGB,
		DiskMB:   100 * mbPerGB,
		Store:    config.WeightStore{ParallelLoads: 4, ParallelAdapters: 32},
		Adapters: 75,
	}
}
