package replay

import (
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
)

// Muotiennuste forecasts trends. Outlooks for members come in bursts before
// buying deadlines, editors draft in sessions, colour notes are rare.
func Muotiennuste() Deployment {
	d := base("muotiennuste")
	d.Regions = []ident.Region{"uusimaa", "pirkanmaa", "pohjanmaa"}
	d.Store.LoadsPerSecond = 5
	d.Aim = config.Aim{ColdStart: 2, IdleHours: 1}
	d.AdapterMin, d.AdapterMax = 7*time.Millisecond, 13*time.Millisecond
	d.Groups = []Group{
		{
			Name: "outlook", Models: 20, Priority: 0, Habits: 2, FirstHour: 8, LastHour: 16, Likely: 0.7,
			Jitter: 30 * time.Minute, Length: 50 * time.Minute, Gap: 40 * time.Second, Burst: 8,
			Background: 36 * time.Hour, Season: 1.4, Deadline: 2 * time.Minute,
		},
		{
			Name: "draft", Models: 25, Priority: 1, Habits: 2, FirstHour: 7, LastHour: 17, Likely: 0.5,
			Jitter: time.Hour, Length: 35 * time.Minute, Gap: 90 * time.Second, Burst: 2,
			Background: 48 * time.Hour, Season: 1, Deadline: 2 * time.Minute,
		},
		{
			Name: "colour note", Models: 20, Priority: 2, Habits: 1, FirstHour: 6, LastHour: 20, Likely: 0.2,
			Jitter: 3 * time.Hour, Length: 10 * time.Minute, Gap: 2 * time.Minute, Burst: 1,
			Background: 30 * time.Hour, Season: 1, Deadline: 4 * time.Minute,
		},
	}
	return d
}

// Nordfjell books studios. Schedules are drafted before classes, questions come
// all day in the booking season, notes are summarised after sessions.
func Nordfjell() Deployment {
	d := base("nordfjell")
	d.Regions = []ident.Region{"vestland", "trøndelag", "nordland"}
	d.Store.LoadsPerSecond = 3
	d.Aim = config.Aim{ColdStart: 1, IdleHours: 2}
	d.AdapterMin, d.AdapterMax = 5*time.Millisecond, 14*time.Millisecond
	d.Groups = []Group{
		{
			Name: "question", Models: 10, Priority: 0, Habits: 3, FirstHour: 9, LastHour: 21, Likely: 0.8,
			Jitter: time.Hour, Length: 60 * time.Minute, Gap: 2 * time.Minute, Burst: 4,
			Background: 12 * time.Hour, Season: 1.25, Deadline: 2 * time.Minute,
		},
		{
			Name: "schedule", Models: 30, Priority: 1, Habits: 1, FirstHour: 7, LastHour: 12, Likely: 0.4,
			Jitter: 20 * time.Minute, Length: 30 * time.Minute, Gap: 100 * time.Second, Burst: 3,
			Background: 60 * time.Hour, Season: 1.5, Deadline: 2 * time.Minute,
		},
		{
			Name: "note", Models: 25, Priority: 2, Habits: 1, FirstHour: 15, LastHour: 22, Likely: 0.25,
			Jitter: 2 * time.Hour, Length: 10 * time.Minute, Gap: 3 * time.Minute, Burst: 1,
			Background: 48 * time.Hour, Season: 1, Deadline: 4 * time.Minute,
		},
	}
	return d
}

// Memoryless has the sizes of Muotiennuste, but single requests at random, so
// that history tells nothing but the mean rate.
func Memoryless() Deployment {
	d := Muotiennuste()
	d.Name = "memoryless"
	d.Groups = []Group{
		{Name: "any", Models: 65, Background: 40 * time.Minute, Deadline: 2 * time.Minute},
	}
	return d
}

// base holds what the deployments have in common.
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
