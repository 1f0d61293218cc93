package fleet

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against responses that count as complete since their server leaves, though the platform
// may have ended it under them: listings come late, state the time that is left or the whole
// notice, miss the server, or begin with it.
func TestNoVMDrainsPastItsRemoval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(label string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
		}
		noticeAt, notice := start.Add(ms("notice at", 5000)), ms("notice", 5000)
		removedAt := noticeAt.Add(notice)
		countsDown, drained := rapid.Bool().Draw(t, "counts down"), rapid.Bool().Draw(t, "drains before")
		tracker, entry, previous := NewTracker(Options{}), vm("a", 1, false), start
		for now := start.Add(ms("first listing", 6000)); now.Before(removedAt.Add(5 * time.Second)); now = now.Add(ms("pause", 3000)) {
			// The server renews its registration at moments of its own, which listings show in
			// order. One that only repeats what it stated has registered the notice at once.
			renewed := now.Add(-ms("age", int(now.Sub(previous).Milliseconds())))
			if !countsDown && !noticeAt.After(now) && noticeAt.After(previous) {
				renewed = noticeAt
			}
			previous = now
			switch {
			case renewed.Before(noticeAt):
				entry.Leaving = entry.Leaving || drained
			case renewed.Before(removedAt) && countsDown:
				entry.Leaving, entry.RemovalAnnounced, entry.RemovedIn = true, true, removedAt.Sub(renewed)
			case renewed.Before(removedAt):
				entry.Leaving, entry.RemovalAnnounced, entry.RemovedIn = true, true, notice
			}
			listed := []VM{entry}
			if rapid.IntRange(0, 9).Draw(t, "missing") == 0 {
				listed = nil
			}
			tracker.Update(now, Listing{VMs: listed})
			at := now.Add(ms("response ends", 3000))
			if entry.RemovalAnnounced && !at.Before(removedAt) && tracker.Drains(at, &entry) {
				t.Fatalf("drains at %v, removed at %v", at.Sub(start), removedAt.Sub(start))
			}
		}
	})
}

// Guards against responses that count as broken though their server was sure to be left the time
// for them.
func TestVMDrains(t *testing.T) {
	ready, draining := vm("a", 1, false), vm("a", 1, true)
	notice, unknown := draining, draining
	notice.RemovalAnnounced, notice.RemovedIn = true, 3*time.Second
	unknown.RemovalAnnounced = true
	second := vm("a", 2, true)
	for name, tc := range map[string]struct {
		// listings come a second apart.
		listings []VM
		after    time.Duration
		want     bool
	}{
		"not leaving":                   {[]VM{ready}, 0, false},
		"drain":                         {[]VM{ready, draining}, time.Minute, true},
		"ahead of the removal":          {[]VM{ready, notice}, 1900 * time.Millisecond, true},
		"removal":                       {[]VM{ready, notice}, 2 * time.Second, false},
		"repeated notice":               {[]VM{ready, notice, notice}, time.Second, false},
		"drain, then notice":            {[]VM{ready, draining, notice}, 2 * time.Second, false},
		"notice of unknown age":         {[]VM{notice}, 0, false},
		"notice of unknown length":      {[]VM{ready, unknown}, 0, false},
		"another start of the same VM":  {[]VM{ready, second}, 0, false},
		"notice, then another in hours": {[]VM{ready, unknown, notice}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			tracker, now := NewTracker(Options{}), start
			for _, listed := range tc.listings {
				now = now.Add(time.Second)
				tracker.Update(now, Listing{VMs: []VM{listed}})
			}
			if got := tracker.Drains(now.Add(tc.after), &ready); got != tc.want {
				t.Errorf("drains %v, want %v", got, tc.want)
			}
		})
	}
}
