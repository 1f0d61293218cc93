package resume

import (
	"maps"
	"slices"

	"github.com/laureltally/laureltally/ident"
)

// Record is the list of software versions at which streams may have begun, as kept in
// the metadata store. A version is added before the first stream begins at it.
type Record struct {
	// Versions holds the versions of each service, in order of their names.
	Versions map[ident.Upstream][]string `json:"versions"`
	// Complete is set if the list lacked no version while the store had been restored
	// from an older copy Restores times. A copy may be older than the newest version.
	Complete bool   `json:"complete"`
	Restores uint64 `json:"restores"`
}

// Only returns the version that began all streams of a service, and false if there may
// be another one. Restores is how often the store has been restored.
func (r Record) Only(service ident.Upstream, restores uint64) (string, bool) {
	versions := r.Versions[service]
	if len(versions) != 1 || !r.completeAt(restores) {
		return "", false
	}
	return versions[0], true
}

func (r Record) completeAt(restores uint64) bool { return r.Complete && r.Restores == restores }

func (r Record) has(service ident.Upstream, version string) bool {
	return slices.Contains(r.Versions[service], version)
}

func (r Record) equal(o Record) bool {
	return r.Complete == o.Complete && r.Restores == o.Restores && maps.EqualFunc(r.Versions, o.Versions, slices.Equal)
}
