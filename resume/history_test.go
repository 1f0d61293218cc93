package resume

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
)

const (
	service = ident.Upstream("portal")
	testGap = 2500 * time.Millisecond
	// minLifetime is how long a version stays registered at least: registrations expire
	// after three missed renewals.
	minLifetime = 4 * time.Second
	// reregistered is when servers have registered again after a restore of the store.
	reregistered = 2 * time.Second
	// maxStreamAge bounds the time from the beginning of a stream to its resumption.
	maxStreamAge = 30 * time.Second
)

func listing(restores uint64, versions ...string) fleet.Listing {
	l := fleet.Listing{Restores: restores}
	for i, v := range versions {
		l.VMs = append(l.VMs, fleet.VM{ID: ident.VM(fmt.Sprint(i)), Service: service, Software: v})
	}
	return l
}

// storeState is what a restore takes back.
type storeState struct {
	record  Record
	version int
	listed  []string
}

// releases is a store with routers that are killed, started and cut off at any moment
// while versions join and leave.
type releases struct {
	now time.Time
	storeState
	copy     storeState
	copiedAt time.Time
	restores uint64
	// restoredAt is when the store was last restored; running holds when each running
	// version joined.
	restoredAt time.Time
	running    map[string]time.Time
	joined     int
	routers    []*History
	// pending holds writes that routers have decided on but not sent.
	pending []pendingWrite
	streams []begunStream
}

type pendingWrite struct {
	router   *History
	record   Record
	version  int
	restores uint64
}

type begunStream struct {
	version string
	at      time.Time
}

// list returns the listing that the store gives now.
func (r *releases) list() fleet.Listing {
	if r.restores == 0 || r.now.Sub(r.restoredAt) >= reregistered {
		r.listed = r.listed[:0:0]
		for v := range r.running {
			r.listed = append(r.listed, v)
		}
		slices.Sort(r.listed)
	}
	return listing(r.restores, r.listed...)
}

func (r *releases) read(h *History) {
	h.Stored(r.now, r.record, r.restores)
	if next, write := h.Next(r.now, r.restores); write {
		r.pending = append(r.pending, pendingWrite{h, next, r.version, r.restores})
	}
}

// write sends one write, which is conditional on the version that was read.
func (r *releases) write(t *rapid.T) {
	if len(r.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(r.pending)-1).Draw(t, "write")
	w := r.pending[i]
	r.pending = slices.Delete(r.pending, i, i+1)
	if w.version != r.version || w.restores != r.restores && w.version != 0 {
		return
	}
	r.record, r.version = w.record, r.version+1
	if slices.Contains(r.routers, w.router) {
		w.router.Stored(r.now, w.record, w.restores)
	}
}

func (r *releases) router(t *rapid.T) *History {
	return rapid.SampledFrom(r.routers).Draw(t, "router")
}

func (r *releases) step(t *rapid.T) {
	switch rapid.SampledFrom([]string{"list", "list", "list", "sync", "sync", "write", "write", "stream", "stream", "join", "leave", "kill all", "kill", "copy", "restore", "quick"}).Draw(t, "step") {
	case "list":
		for _, h := range r.routers {
			if rapid.IntRange(0, 9).Draw(t, "listed") > 0 {
				h.Listed(r.now, r.list())
			}
		}
	case "sync":
		if h := r.router(t); h.SyncNeeded(r.now) {
			r.read(h)
		}
	case "write":
		r.write(t)
	case "stream":
		h := r.router(t)
		unrecorded := h.Unrecorded(service)
		for _, v := range h.listed[service] {
			if _, runs := r.running[v]; runs && !slices.Contains(unrecorded, v) {
				r.streams = append(r.streams, begunStream{v, r.now})
			}
		}
	case "join":
		r.joined++
		r.running[fmt.Sprint("v", r.joined)] = r.now
	case "leave":
		for v, at := range r.running {
			if len(r.running) > 1 && r.now.Sub(at) >= minLifetime {
				delete(r.running, v)
				break
			}
		}
	case "kill all":
		for i := range r.routers {
			r.routers[i] = NewHistory(testGap)
		}
	case "kill":
		r.routers[rapid.IntRange(0, len(r.routers)-1).Draw(t, "killed")] = NewHistory(testGap)
	case "copy":
		r.list()
		r.copy, r.copiedAt = r.storeState, r.now
	case "restore":
		if !r.copiedAt.IsZero() && r.now.Sub(r.copiedAt) < 5*time.Second {
			r.storeState, r.restoredAt = r.copy, r.now
			r.restores++
		}
	case "quick":
		return
	}
	r.now = r.now.Add(rapid.SampledFrom([]time.Duration{0, 300 * time.Millisecond, time.Second}).Draw(t, "pause"))
}

// A caller whose stream's version only the store can tell gets that one or none, however
// releases, kills of routers, lost writes and restores of the store coincide.
func TestRecordNeverNamesAnotherVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &releases{now: start, running: map[string]time.Time{"v0": start}}
		for range 3 {
			r.routers = append(r.routers, NewHistory(testGap))
		}
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			r.step(t)
			only, known := r.record.Only(service, r.restores)
			if !known {
				continue
			}
			for _, s := range r.streams {
				if s.version != only && r.now.Sub(s.at) <= maxStreamAge {
					t.Fatalf("a stream began at %s %v ago, the store names %s as the only version", s.version, r.now.Sub(s.at), only)
				}
			}
		}
	})
}

// settle lets routers list every second and keep the record.
func (r *releases) settle(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(time.Second) {
		for _, h := range r.routers {
			h.Listed(r.now, r.list())
			for h.SyncNeeded(r.now) {
				r.read(h)
				for len(r.pending) > 0 {
					w := r.pending[0]
					r.pending = r.pending[1:]
					r.record, r.version = w.record, r.version+1
					w.router.Stored(r.now, w.record, w.restores)
				}
			}
		}
	}
}

// The record costs one write at an installation's start and two for each release, not one
// for each router.
func TestRecordIsWrittenTwiceForARelease(t *testing.T) {
	r := &releases{now: start, running: map[string]time.Time{"v1": start}}
	for range 360 {
		r.routers = append(r.routers, NewHistory(testGap))
	}
	r.settle(2 * time.Minute)
	if only, known := r.record.Only(service, 0); r.version != 1 || !known || only != "v1" {
		t.Fatalf("after %d writes: %+v", r.version, r.record)
	}
	r.running["v2"] = r.now
	r.settle(20 * time.Second)
	delete(r.running, "v1")
	r.settle(10 * time.Second)
	if _, known := r.record.Only(service, 0); known {
		t.Error("the old version is forgotten right after it left")
	}
	r.settle(2 * time.Minute)
	if only, known := r.record.Only(service, 0); r.version != 3 || !known || only != "v2" {
		t.Errorf("after %d writes: %+v", r.version, r.record)
	}
}

// After a restore, a router that ran through it makes the record complete again; a router
// that started since then does so only once no older stream can be resumed.
func TestRecordIsCompleteAgainAfterARestore(t *testing.T) {
	for _, tc := range []struct {
		restart bool
		within  time.Duration
	}{{false, fleet.DefaultRestoreHold + 2*time.Second}, {true, streamMemory + 2*time.Second}} {
		r := &releases{now: start, running: map[string]time.Time{"v1": start}, routers: []*History{NewHistory(testGap)}}
		r.settle(10 * time.Second)
		r.restores, r.restoredAt = 1, r.now
		if tc.restart {
			r.routers[0] = NewHistory(testGap)
		}
		r.settle(2 * time.Second)
		if _, known := r.record.Only(service, 1); known {
			t.Errorf("restart %v: trusted right after the restore", tc.restart)
		}
		r.settle(tc.within)
		if _, known := r.record.Only(service, 1); !known {
			t.Errorf("restart %v: not complete after %v: %+v", tc.restart, tc.within, r.record)
		}
	}
}

// A router that has not listed since a restore of the store does not vouch for what the
// restored record lacks.
func TestRecordIsNotCompletedBeforeAListing(t *testing.T) {
	r := &releases{now: start, running: map[string]time.Time{"v1": start}, routers: []*History{NewHistory(testGap)}}
	r.settle(10 * time.Second)
	h := r.routers[0]
	h.Stored(r.now, r.record, 1)
	if next, write := h.Next(r.now, 1); write {
		t.Errorf("the record is replaced by %+v", next)
	}
}
