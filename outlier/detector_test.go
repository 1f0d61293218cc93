package outlier

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/laureltally/laureltally/ident"
)

var start = time.Unix(1_000_000, 0)

func newDetector(t *testing.T, vms int) *Detector {
	t.Helper()
	d, err := New(Options{Rand: rand.New(rand.NewPCG(1, 2))})
	if err != nil {
		t.Fatal(err)
	}
	for i := range vms {
		d.Add(ident.VM(fmt.Sprint(i)))
	}
	return d
}

func failRequests(d *Detector, now time.Time, vm ident.VM, times int) {
	for range times {
		d.RequestStarted(now, vm)
		d.RequestEnded(now, vm, false)
	}
}

func TestEjectedShareIsLimited(t *testing.T) {
	tests := []struct{ vms, want int }{{1, 0}, {2, 1}, {3, 1}, {12, 6}}
	for _, tt := range tests {
		d := newDetector(t, tt.vms)
		ejected := 0
		for i := range tt.vms {
			vm := ident.VM(fmt.Sprint(i))
			failRequests(d, start, vm, DefaultConsecutive)
			if d.Status(start, vm).Blocked {
				ejected++
			}
		}
		if ejected != tt.want {
			t.Errorf("%d of %d ejected, want %d", ejected, tt.vms, tt.want)
		}
	}
}

func TestMixedFailuresEject(t *testing.T) {
	tests := []struct {
		name string
		// failEvery is the interval between failed requests; zero means that two
		// of three requests fail.
		failEvery int
		want      Phase
	}{
		{"two of three fail", 0, Ejected},
		{"one of four fails", 4, Healthy},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDetector(t, 4)
			for i := range 60 {
				failed := tt.failEvery > 0 && i%tt.failEvery == 0 || tt.failEvery == 0 && i%3 != 0
				d.RequestEnded(start, "0", !failed)
			}
			if got := d.Status(start, "0").Phase; got != tt.want {
				t.Errorf("phase %s, want %s", got, tt.want)
			}
		})
	}
}

func TestRecoveryIsGradual(t *testing.T) {
	d := newDetector(t, 4)
	failRequests(d, start, "0", DefaultConsecutive)
	now := start.Add(DefaultBaseTime * 3 / 2)
	if s := d.Status(now, "0"); s.Phase != Probing || s.Blocked {
		t.Fatalf("status %+v, want a probe to be allowed", s)
	}
	d.RequestStarted(now, "0")
	if s := d.Status(now, "0"); !s.Blocked {
		t.Fatalf("status %+v, want one probe at a time", s)
	}
	d.RequestEnded(now, "0", true)
	for range DefaultProbes - 1 {
		d.RequestStarted(now, "0")
		d.RequestEnded(now, "0", true)
	}
	last := 0.0
	for at := time.Duration(0); at < DefaultRamp; at += DefaultRamp / 10 {
		s := d.Status(now.Add(at), "0")
		if s.Phase != Recovering || s.LoadShare <= last {
			t.Fatalf("status %+v after %v, want a rising share", s, at)
		}
		if limit := DefaultRampStart + float64(at)/float64(DefaultRamp); s.LoadShare > limit+1e-9 {
			t.Fatalf("share %v after %v, want %v at most", s.LoadShare, at, limit)
		}
		last = s.LoadShare
	}
	if s := d.Status(now.Add(DefaultRamp), "0"); s.Phase != Healthy || s.LoadShare != 1 {
		t.Errorf("status %+v after the ramp, want healthy with the full share", s)
	}
}

func TestFailedProbeEjectsForLonger(t *testing.T) {
	d := newDetector(t, 4)
	failRequests(d, start, "0", DefaultConsecutive)
	now := start.Add(DefaultBaseTime * 3 / 2)
	failRequests(d, now, "0", 1)
	if s := d.Status(now.Add(DefaultBaseTime*2-1), "0"); s.Phase != Ejected {
		t.Errorf("status %+v, want ejected for twice as long", s)
	}
	if s := d.Status(now.Add(DefaultBaseTime*3), "0"); s.Phase != Probing {
		t.Errorf("status %+v, want a probe after at most three times the base time", s)
	}
}

func TestResultsOfEarlierRequestsAreNotProbes(t *testing.T) {
	d := newDetector(t, 4)
	for range 20 {
		d.RequestStarted(start, "0")
	}
	for range DefaultConsecutive {
		d.RequestEnded(start, "0", false)
	}
	now := start.Add(DefaultBaseTime * 3 / 2)
	if s := d.Status(now, "0"); s.Phase != Probing || s.Blocked {
		t.Fatalf("status %+v, want a probe to be allowed", s)
	}
	d.RequestEnded(now, "0", false)
	if s := d.Status(now, "0"); s.Phase != Probing {
		t.Errorf("status %+v: the result of a request from before the ejection counted as a probe", s)
	}
}
