package idempotency

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

const (
	worldSteps = 400
	// faultSeeds is how many runs a fault may take to show itself.
	faultSeeds = 4000
	// soundSeeds is how many runs are made without a fault.
	soundSeeds = 2000
)

// TestKeyRunsAtMostOnce is the property of spec/claims.pml on the code itself.
// More and other runs: -rapid.checks and -rapid.seed.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(noFault, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
		t.Repeat(map[string]func(*rapid.T){
			"step": func(*rapid.T) { w.step() },
			"": func(t *rapid.T) {
				if w.doubled() {
					t.Fatalf("runs: %v", w.runs)
				}
			},
		})
	})
}

func TestKeyRunsAtMostOnceInLongRuns(t *testing.T) {
	var runs, joined, moved int
	for seed := range uint64(soundSeeds) {
		w := runWorld(noFault, seed)
		if w.doubled() {
			t.Fatalf("seed %d: runs %v", seed, w.runs)
		}
		runs, joined, moved = runs+len(w.runs), joined+w.joined, moved+w.moved
	}
	t.Logf("%d runs, %d joins, %d moves", runs, joined, moved)
	if runs == 0 || joined == 0 || moved == 0 {
		t.Fatalf("%d runs, %d joins, %d moves: the events do not reach them all", runs, joined, moved)
	}
}

// TestEachFaultDoublesARun shows that the events above can find what each rule
// prevents.
func TestEachFaultDoublesARun(t *testing.T) {
	faults := []fault{noTombstone, noIncarnation, moveWhenGone, blindMove, noReread, dropTombstone, lateRefusal}
	for _, f := range faults {
		t.Run(string(f), func(t *testing.T) {
			for seed := range uint64(faultSeeds) {
				if w := runWorld(f, seed); w.doubled() {
					t.Logf("seed %d: runs %v", seed, w.runs)
					return
				}
			}
			t.Fatalf("no doubled run in %d seeds", faultSeeds)
		})
	}
}

func runWorld(f fault, seed uint64) *world {
	random := rand.New(rand.NewPCG(seed, 0))
	w := newWorld(f, random.IntN)
	for range worldSteps {
		if w.step(); w.doubled() {
			break
		}
	}
	return w
}
