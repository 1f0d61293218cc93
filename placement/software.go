package placement

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
)

// versionMemory is how long a software version counts as in use after its last VM was
// removed: a stream that it began may still be resumed. Callers give up earlier.
const versionMemory = time.Minute

// versionSeen records that a VM with its software version is or was registered.
func (b *Balancer) versionSeen(now time.Time, vm *fleet.VM) {
	seen := b.versions[vm.Service]
	if seen == nil {
		seen = make(map[string]time.Time)
		b.versions[vm.Service] = seen
	}
	seen[vm.Software] = now
}

// Versions returns the software versions of a service that may have begun a stream which
// is resumed now, in order of their names.
func (b *Balancer) Versions(now time.Time, service ident.Upstream) []string {
	for _, m := range b.members {
		if m.vm.Service == service {
			b.versionSeen(now, m.vm)
		}
	}
	var versions []string
	for v, at := range b.versions[service] {
		if now.Sub(at) > versionMemory {
			delete(b.versions[service], v)
			continue
		}
		versions = append(versions, v)
	}
	slices.Sort(versions)
	return versions
}
