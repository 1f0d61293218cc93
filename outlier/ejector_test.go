package outlier

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/laureltally/laureltally/ident"
)

var start = time.Unix(1_000_000, 0)

func newEjector(t *testing.T, vms int) *Detector {
	t.Helper()
	e, err := New(Options{Rand: rand.New(rand.NewPCG(1, 2))})
	if err != nil {
		t.Fatal(err)
	}
	for i := range vms {
		e.Add(ident.VM(fmt.Sprint(i)))
	}
	return e
}

func fail(e *Detector, now time.Time, vm ident.VM, times int) {
	for range times {
		e.RequestStarted(now, vm)
		e.RequestEnded(now, vm, false)
	}
}

func TestEjectionIsCapped(t *testing.T) {
	tests := []struct{ vms, want int }{{1, 0}, {2, 1}, {3, 1}, {12, 6}}
	for _, tt := range tests {
		e := newEjector(t, tt.vms)
		out := 0
		for i := range tt.vms {
			vm := ident.VM(fmt.Sprint(i))
			fail(e, start, vm, DefaultConsecutive)
			if e.Status(start, vm).Blocked {
				out++
			}
		}
		if out != tt.want {
			t.Errorf("%d of %d ejected, want %d", out, tt.vms, tt.want)
		}
	}
}

func TestMixedFailuresEject(t *testing.T) {
	tests := []struct {
		name string
		// failEvery makes each such request fail.
		failEvery int
		want      Phase
	}{
		{"two of three fail", 0, Ejected},
		{"one of four fails", 4, Healthy},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEjector(t, 4)
			for i := range 60 {
				bad := tt.failEvery > 0 && i%tt.failEvery == 0 || tt.failEvery == 0 && i%3 != 0
				e.RequestEnded(start, "0", !bad)
			}
			if got := e.Status(start, "0").Phase; got != tt.want {
				t.Errorf("phase %s, want %s", got, tt.want)
			}
		})
	}
}

func TestRecoveryIsGradual(t *testing.T) {
	e := newEjector(t, 4)
	fail(e, start, "0", DefaultConsecutive)
	now := start.Add(DefaultBaseTime * 3 / 2)
	if s := e.Status(now, "0"); s.Phase != Probing || s.Blocked {
		t.Fatalf("status %+v, want a probe to be allowed", s)
	}
	e.RequestStarted(now, "0")
	if s := e.Status(now, "0"); !s.Blocked {
		t.Fatalf("status %+v, want one probe at a time", s)
	}
	e.RequestEnded(now, "0", true)
	for range DefaultProbes - 1 {
		e.RequestStarted(now, "0")
		e.RequestEnded(now, "0", true)
	}
	last := 0.0
	for at := time.Duration(0); at < DefaultRamp; at += DefaultRamp / 10 {
		s := e.Status(now.Add(at), "0")
		if s.Phase != Recovering || s.LoadShare <= last {
			t.Fatalf("status %+v after %v, want a rising share", s, at)
		}
		if limit := DefaultRampStart + float64(at)/float64(DefaultRamp); s.LoadShare > limit+1e-9 {
			t.Fatalf("share %v after %v, want %v at most", s.LoadShare, at, limit)
		}
		last = s.LoadShare
	}
	if s := e.Status(now.Add(DefaultRamp), "0"); s.Phase != Healthy || s.LoadShare != 1 {
		t.Errorf("status %+v after the ramp", s)
	}
}

func TestFailedProbeEjectsForLonger(t *testing.T) {
	e := newEjector(t, 4)
	fail(e, start, "0", DefaultConsecutive)
	now := start.Add(DefaultBaseTime * 3 / 2)
	fail(e, now, "0", 1)
	if s := e.Status(now.Add(DefaultBaseTime*2-1), "0"); s.Phase != Ejected {
		t.Errorf("status %+v, want ejected for twice as long", s)
	}
	if s := e.Status(now.Add(DefaultBaseTime*3), "0"); s.Phase != Probing {
		t.Errorf("status %+v, want a probe after twice the time and a half", s)
	}
}

func TestLateResultsOfEarlierRequestsDoNotProbe(t *testing.T) {
	e := newEjector(t, 4)
	for range 20 {
		e.RequestStarted(start, "0")
	}
	for range DefaultConsecutive {
		e.RequestEnded(start, "0", false)
	}
	now := start.Add(DefaultBaseTime * 3 / 2)
	if s := e.Status(now, "0"); s.Phase != Probing || s.Blocked {
		t.Fatalf("status %+v, want a probe to be allowed", s)
	}
	e.RequestEnded(now, "0", false)
	if s := e.Status(now, "0"); s.Phase != Probing {
		t.Errorf("status %+v: a request from before the ejection counted as a probe", s)
	}
}
