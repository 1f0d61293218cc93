package routing

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/laureltally/laureltally/ident"
)

func newChooser(t testing.TB, change func(*Options)) *Chooser {
	t.Helper()
	o := Options{Rand: rand.New(rand.NewPCG(1, 2))}
	if change != nil {
		change(&o)
	}
	c, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func candidates(n int) []Candidate {
	all := make([]Candidate, n)
	for i := range all {
		all[i] = Candidate{
			VM:            ident.VM(fmt.Sprintf("vm-%d", i)),
			Region:        "r1",
			Concurrency:   8,
			ServiceTime:   time.Second,
			AdapterLoaded: true,
		}
	}
	return all
}

func TestChooseSkipsLeavingEjectedAndExcludedVMs(t *testing.T) {
	all := candidates(4)
	all[0].Leaving = true
	all[1].Ejected = true
	c := newChooser(t, nil)
	for range 100 {
		got, err := c.Choose(Request{Region: "r1", Exclude: "vm-2"}, all)
		if err != nil {
			t.Fatal(err)
		}
		if got.Index != 3 {
			t.Fatalf("chose %d, want 3", got.Index)
		}
	}
}

func TestChooseFallsBackToEjectedVMs(t *testing.T) {
	all := candidates(2)
	all[0].Leaving = true
	all[1].Ejected = true
	got, err := newChooser(t, nil).Choose(Request{Region: "r1"}, all)
	if err != nil || got.Index != 1 {
		t.Errorf("Choose = %v, %v, want index 1", got, err)
	}
	all[1].Leaving = true
	var none *NoCandidateError
	if _, err := newChooser(t, nil).Choose(Request{Region: "r1"}, all); !errors.As(err, &none) || none.Leaving != 2 {
		t.Errorf("err = %v, want NoCandidateError with 2 leaving", err)
	}
}

func TestChooseCrossesRegionsOnlyForGain(t *testing.T) {
	tests := []struct {
		name    string
		waiting int
		allow   bool
		want    bool
	}{
		{"idle in the same region", 0, true, false},
		{"gain under the threshold", 1, true, false},
		{"gain over the threshold", 8, true, true},
		{"no paid volume left", 8, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			all := candidates(2)
			all[0].Running, all[0].Waiting = 8, tt.waiting
			all[0].ServiceTime = 500 * time.Millisecond
			all[1].Region = "r2"
			got, err := newChooser(t, nil).Choose(Request{Region: "r1", AllowCrossRegion: tt.allow}, all)
			if err != nil || got.CrossRegion != tt.want {
				t.Errorf("Choose = %+v, %v, want CrossRegion %v", got, err, tt.want)
			}
		})
	}
}
