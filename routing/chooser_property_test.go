package routing

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/laureltally/laureltally/ident"
)

func drawCandidates(t *rapid.T) []Candidate {
	all := make([]Candidate, rapid.IntRange(0, 8).Draw(t, "candidates"))
	for i := range all {
		all[i] = Candidate{
			VM:            ident.VM(fmt.Sprint("vm-", i)),
			Region:        rapid.SampledFrom([]ident.Region{"r1", "r2"}).Draw(t, "region"),
			Running:       rapid.IntRange(0, 9).Draw(t, "running"),
			Waiting:       rapid.IntRange(0, 9).Draw(t, "waiting"),
			Unreported:    rapid.IntRange(-9, 9).Draw(t, "unseen"),
			Concurrency:   rapid.IntRange(0, 8).Draw(t, "concurrency"),
			ServiceTime:   time.Duration(rapid.IntRange(0, 5000).Draw(t, "service")) * time.Millisecond,
			Share:         rapid.SampledFrom([]float64{0, 0.1, 1}).Draw(t, "share"),
			AdapterLoaded: rapid.Bool().Draw(t, "adapter"),
			Ejected:       rapid.Bool().Draw(t, "ejected"),
			Leaving:       rapid.Bool().Draw(t, "leaving"),
		}
	}
	return all
}

func TestChooseProperties(t *testing.T) {
	c := newChooser(t, nil)
	rapid.Check(t, func(t *rapid.T) {
		all := drawCandidates(t)
		req := Request{
			Region:           "r1",
			Affinity:         rapid.Uint64Range(0, 3).Draw(t, "affinity"),
			Exclude:          rapid.SampledFrom([]ident.VM{"", "vm-0"}).Draw(t, "exclude"),
			Remaining:        time.Duration(rapid.IntRange(0, 9).Draw(t, "remaining")) * time.Second,
			AllowCrossRegion: rapid.Bool().Draw(t, "crossing"),
		}
		usable, healthy, local := 0, 0, 0
		for _, x := range all {
			if x.Leaving || x.VM == req.Exclude {
				continue
			}
			usable++
			if !x.Ejected {
				healthy++
				if x.Region == "r1" {
					local++
				}
			}
		}
		got, err := c.Choose(req, all)
		if usable == 0 {
			var none *NoCandidateError
			if !errors.As(err, &none) {
				t.Fatalf("err = %v, want NoCandidateError", err)
			}
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		x := all[got.Index]
		if x.Leaving || x.VM == req.Exclude {
			t.Fatalf("chose %+v, which is leaving or excluded", x)
		}
		if x.Ejected && healthy > 0 {
			t.Fatalf("chose an ejected VM although %d are healthy", healthy)
		}
		if got.CrossRegion != (x.Region != "r1") || got.CrossRegion && local > 0 && !req.AllowCrossRegion {
			t.Fatalf("crosses %v to %s, allowed %v, %d in the same region", got.CrossRegion, x.Region, req.AllowCrossRegion, local)
		}
	})
}
