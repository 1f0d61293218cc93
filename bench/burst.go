package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/laureltally/laureltally/coldstart"
	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

const (
	// burstTrials is the number of bursts for each figure.
	burstTrials = 1000
	// burstSlots is the number of slots of the model, two in each region.
	burstSlots = 6
	// burstMemoryMB is the size of the model, in MiB.
	burstMemoryMB = 16 * 1024
	// tierChange and memoryChange are the mean times between two changes of the
	// cached tier of the model, and of what is free, on one VM.
	tierChange   = 10 * time.Minute
	memoryChange = time.Minute
	burstSeed    = 1
)

var (
	burstRegions = []ident.Region{"a", "b", "c"}
	burstTiers   = []engine.Tier{engine.TierMemory, engine.TierDisk, engine.TierRemote}
	// burstLoads gives the load time of the model by tier.
	burstLoads = map[engine.Tier]time.Duration{
		engine.TierMemory: time.Second, engine.TierDisk: 4 * time.Second, engine.TierRemote: 12 * time.Second,
	}
	burstTime = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
)

// slotHistory is one slot before and after its last changes.
type slotHistory struct {
	before, now        coldstart.Candidate
	tierAge, memoryAge time.Duration
}

// seen returns what a report of some age shows.
func (h slotHistory) seen(age time.Duration) coldstart.Candidate {
	c := h.now
	if h.tierAge < age {
		c.Tier = h.before.Tier
	} else {
		c.PreviousTier, c.TierSince = h.before.Tier, burstTime.Add(-h.tierAge)
	}
	if h.memoryAge < age {
		c.FreeMB = h.before.FreeMB
	}
	return c
}

// picker chooses the VM that a router wakes.
type picker func(region ident.Region, view []coldstart.Candidate) ident.VM

// burst counts the loads that first requests at many routers start.
func burst(t *table) {
	orders := []struct {
		name string
		pick picker
	}{
		{"own region first", pickBy(ownRegion, byTier)},
		{"tier, free memory", pickBy(byTier, byMemory)},
		{"rank only", pickBy()},
		{"tier as reported", pickBy(byTier)},
	}
	for _, routers := range []int{3, 360} {
		for _, lag := range []time.Duration{0, time.Second, 5 * time.Second} {
			base := ""
			for _, o := range orders {
				base += fmt.Sprintf("%s %s; ", o.name, runBursts(routers, lag, o.pick))
			}
			ours := runBursts(routers, lag, pickOurs)
			t.add(row{
				Section: "burst", Figure: fmt.Sprintf("%d routers, reports up to %v old: loads started", routers, lag),
				Target: "1", Baseline: base, Ours: ours.String(), Verdict: judge(ours.loads == burstTrials),
			})
		}
	}
	t.add(row{
		Section: "burst", Figure: "platform calls to wake a model", Target: "0", Baseline: "-",
		Ours: "0 (the decision has no access)", Verdict: met,
	})
}

// burstFigures sums the loads of all bursts.
type burstFigures struct {
	loads, more int
	wait        time.Duration
}

// String implements fmt.Stringer.
func (b burstFigures) String() string {
	return fmt.Sprintf("%.3f, >1 in %.1f%%, load %.1f s", float64(b.loads)/burstTrials,
		float64(b.more)*percent/burstTrials, b.wait.Seconds()/burstTrials)
}

// runBursts draws bursts at routers with views of different ages.
func runBursts(routers int, lag time.Duration, pick picker) burstFigures {
	r := rand.New(rand.NewPCG(burstSeed, uint64(routers)))
	var sum burstFigures
	for range burstTrials {
		slots := drawSlots(r)
		woken := make(map[ident.VM]bool)
		var slowest time.Duration
		for i := range routers {
			age := time.Duration(r.Float64() * float64(lag))
			view := make([]coldstart.Candidate, len(slots))
			for j, s := range slots {
				view[j] = s.seen(age)
			}
			vm := pick(burstRegions[i%len(burstRegions)], view)
			woken[vm] = true
			slowest = max(slowest, loadOf(slots, vm))
		}
		sum.loads += len(woken)
		if len(woken) > 1 {
			sum.more++
		}
		sum.wait += slowest
	}
	return sum
}

// drawSlots draws the slots of a cold model and their last changes.
func drawSlots(r *rand.Rand) []slotHistory {
	out := make([]slotHistory, burstSlots)
	for i := range out {
		region := burstRegions[i%len(burstRegions)]
		c := coldstart.Candidate{
			VM: ident.VM(fmt.Sprintf("vm-%d-%d", i, r.Uint32())), Region: region, Zone: ident.Zone(region),
			Concurrency: 8, Reachable: true,
		}
		before, now := c, c
		before.Tier, now.Tier = burstTiers[r.IntN(3)], burstTiers[r.IntN(3)]
		before.FreeMB, now.FreeMB = 2*r.Int64N(burstMemoryMB), 2*r.Int64N(burstMemoryMB)
		out[i] = slotHistory{
			before: before, now: now,
			tierAge:   time.Duration(r.ExpFloat64() * float64(tierChange)),
			memoryAge: time.Duration(r.ExpFloat64() * float64(memoryChange)),
		}
	}
	return out
}

func loadOf(slots []slotHistory, vm ident.VM) time.Duration {
	i := slices.IndexFunc(slots, func(s slotHistory) bool { return s.now.VM == vm })
	return burstLoads[slots[i].now.Tier]
}

// pickOurs asks a Chooser of its own for each router.
func pickOurs(region ident.Region, view []coldstart.Candidate) ident.VM {
	c := must(coldstart.New(coldstart.Config{Region: region, Zone: ident.Zone(region)}))
	q := coldstart.Query{
		Model: "outlook", MemoryMB: burstMemoryMB, Candidates: view,
		Now: burstTime, Deadline: burstTime.Add(2 * time.Minute),
	}
	for _, v := range view {
		q.Slots = append(q.Slots, coldstart.Slot{VM: v.VM, Fence: 1})
	}
	return must(c.Choose(q)).VM
}

// order compares two candidates for a router of a region.
type order func(region ident.Region, a, b coldstart.Candidate) int

// pickBy returns a picker that applies orders one after the other, and the
// rendezvous rank last.
func pickBy(orders ...order) picker {
	return func(region ident.Region, view []coldstart.Candidate) ident.VM {
		best := slices.MinFunc(view, func(a, b coldstart.Candidate) int {
			for _, o := range orders {
				if c := o(region, a, b); c != 0 {
					return c
				}
			}
			return cmp.Compare(coldstart.Rank("outlook", b.VM), coldstart.Rank("outlook", a.VM))
		})
		return best.VM
	}
}

func ownRegion(region ident.Region, a, b coldstart.Candidate) int {
	return -compareBool(a.Region == region, b.Region == region)
}

func byTier(_ ident.Region, a, b coldstart.Candidate) int {
	return cmp.Compare(burstLoads[a.Tier], burstLoads[b.Tier])
}

func byMemory(_ ident.Region, a, b coldstart.Candidate) int {
	return -compareBool(a.FreeMB >= burstMemoryMB, b.FreeMB >= burstMemoryMB)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
