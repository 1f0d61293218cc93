package resume

import (
	"maps"
	"slices"
	"time"

	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
)

// streamMemory is how long a stream may be resumed after the last VM with its software
// version was removed. Callers give up earlier.
const streamMemory = time.Minute

// History is one router's view of the software versions of all services. It decides what
// the Record in the store has to contain. It does no I/O and is not safe for concurrent
// use.
//
// A release, a restart of all routers and a restore of the store may coincide in any order.
// Versions that left shortly before a router started are known to it from the Record only.
type History struct {
	// maxGap is the maximum time between two listings after which versions may have been
	// registered and removed unseen.
	maxGap time.Duration
	// listed is the newest listing; seen maps each version to when it was last listed or,
	// if it never was, first read.
	listed map[ident.Upstream][]string
	seen   map[ident.Upstream]map[string]time.Time
	// watchedSince is the begin of the first listing since the newest gap.
	watchedSince, listedAt time.Time
	restores               uint64
	restoredAt             time.Time
	// stored is the newest Record read or written; readNeeded is set while a newer one
	// may have to be read.
	stored     Record
	readNeeded bool
	// complete is set if no version has been missed since a complete Record was read.
	complete bool
}

// NewHistory returns a History that knows no version.
func NewHistory(maxGap time.Duration) *History {
	return &History{maxGap: maxGap, seen: make(map[ident.Upstream]map[string]time.Time), readNeeded: true}
}

// Listed takes a listing that began at begun.
func (h *History) Listed(begun time.Time, l fleet.Listing) {
	first := h.listedAt.IsZero()
	if first || begun.Sub(h.listedAt) > h.maxGap {
		h.watchedSince, h.complete, h.readNeeded = begun, false, true
		for _, versions := range h.seen {
			for v := range versions {
				versions[v] = begun
			}
		}
	}
	if !first && l.Restores > h.restores {
		h.restoredAt, h.readNeeded = begun, true
	}
	h.listedAt, h.restores = begun, max(h.restores, l.Restores)
	h.listed = make(map[ident.Upstream][]string)
	for i := range l.VMs {
		service, version := l.VMs[i].Service, l.VMs[i].Software
		h.observe(begun, service, version)
		if !slices.Contains(h.listed[service], version) {
			h.listed[service] = append(h.listed[service], version)
		}
	}
}

func (h *History) observe(now time.Time, service ident.Upstream, version string) {
	if h.seen[service] == nil {
		h.seen[service] = make(map[string]time.Time)
	}
	h.seen[service][version] = now
}

// Stored takes the Record after it was read, or written by this router. The zero Record
// means that there is none. Restores is how often the store had been restored.
func (h *History) Stored(now time.Time, r Record, restores uint64) {
	none := r.Versions == nil
	if r.completeAt(restores) || none && restores == 0 {
		h.complete = true
	}
	for service, versions := range r.Versions {
		for _, v := range versions {
			if _, known := h.seen[service][v]; !known {
				h.observe(now, service, v)
			}
		}
	}
	for service, versions := range h.seen {
		for v, at := range versions {
			if now.Sub(at) > streamMemory && !r.has(service, v) {
				delete(versions, v)
			}
		}
	}
	h.stored, h.readNeeded = r, false
}

// Unrecorded returns the listed versions of a service that the Record lacks. No resumable
// stream may begin at them yet.
func (h *History) Unrecorded(service ident.Upstream) []string {
	var missing []string
	for _, v := range h.listed[service] {
		if !h.stored.has(service, v) {
			missing = append(missing, v)
		}
	}
	return missing
}

// AllUnrecorded reports whether versions of a service are listed and no resumable stream may
// begin at any of them.
func (h *History) AllUnrecorded(service ident.Upstream) bool {
	n := len(h.listed[service])
	return n > 0 && len(h.Unrecorded(service)) == n
}

// Several reports whether streams of a service may run at more than one version, so that the
// Record does not say which one began a stream.
func (h *History) Several(service ident.Upstream) bool {
	listed := h.listed[service]
	if len(listed) == 0 && len(h.stored.Versions[service]) == 0 {
		return false
	}
	only, known := h.stored.Only(service, h.restores)
	return !known || slices.ContainsFunc(listed, func(v string) bool { return v != only })
}

// AllSeveral returns the services for which Several is true, sorted by name.
func (h *History) AllSeveral() []ident.Upstream {
	services := maps.Clone(h.listed)
	maps.Copy(services, h.stored.Versions)
	var all []ident.Upstream
	for service := range services {
		if h.Several(service) {
			all = append(all, service)
		}
	}
	slices.Sort(all)
	return all
}

// SyncNeeded reports whether the Record has to be read, and perhaps written.
func (h *History) SyncNeeded(now time.Time) bool {
	if h.listedAt.IsZero() {
		return false
	}
	_, write := h.Next(now, h.restores)
	return h.readNeeded || write
}

// Next returns the Record that should replace the stored one, and false if that one is
// right. Versions are removed only by a router that has not seen them for streamMemory, so
// that no clock of another process matters. The stored one is not made complete for a restore
// that no listing has shown yet.
func (h *History) Next(now time.Time, restores uint64) (Record, bool) {
	next := Record{Versions: make(map[ident.Upstream][]string), Complete: h.stored.Complete, Restores: h.stored.Restores}
	for service, versions := range h.seen {
		for v, at := range versions {
			if now.Sub(at) <= streamMemory {
				next.Versions[service] = append(next.Versions[service], v)
			}
		}
		slices.Sort(next.Versions[service])
	}
	if h.mayCertify(now) && restores == h.restores {
		next.Complete, next.Restores = true, restores
	}
	return next, len(next.Versions) > 0 && !next.equal(h.stored)
}

// mayCertify reports whether this router lacks no version at which a stream began. After a
// restore, versions that other routers had recorded are in its listings again only after
// some time.
func (h *History) mayCertify(now time.Time) bool {
	settled := h.restoredAt.IsZero() || now.Sub(h.restoredAt) >= fleet.DefaultRestoreHold
	return settled && (h.complete || now.Sub(h.watchedSince) > streamMemory)
}
