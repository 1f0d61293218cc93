package replay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Bounds of the random models.
const (
	minModelGB       = 6
	maxModelGB       = 34
	maxSlotsPerModel = 3
	concurrency      = 8
)

// model is one model of a deployment.
type model struct {
	name     ident.Model
	group    Group
	memoryMB int64
	adapters []ident.Adapter
	// slots are the indices of the VMs that hold a slot.
	slots []int
	// sessionHours are the hours of the day near which sessions begin.
	sessionHours []float64
}

// drawModels draws the models of a deployment.
func drawModels(d Deployment, r *rand.Rand) []model {
	var out []model
	for _, g := range d.Groups {
		for i := range g.Models {
			out = append(out, drawModel(d, g, i, r))
		}
	}
	for i := range d.Adapters {
		m := &out[i%len(out)]
		m.adapters = append(m.adapters, ident.Adapter(fmt.Sprint("adapter-", i)))
	}
	return out
}

func drawModel(d Deployment, g Group, index int, r *rand.Rand) model {
	m := model{
		name:     ident.Model(fmt.Sprintf("%s-%d", g.Name, index)),
		group:    g,
		memoryMB: mbPerGB * int64(minModelGB+r.IntN(maxModelGB-minModelGB+1)),
		slots:    r.Perm(d.Replicas)[:1+r.IntN(maxSlotsPerModel)],
	}
	for range g.SessionsPerDay {
		m.sessionHours = append(m.sessionHours, g.FirstHour+(g.LastHour-g.FirstHour)*r.Float64())
	}
	return m
}

// hours converts a number of hours to a duration.
func hours(h float64) time.Duration { return time.Duration(h * float64(time.Hour)) }
