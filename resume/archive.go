package resume

import (
	"github.com/cespare/xxhash/v2"

	"github.com/laureltally/laureltally/ident"
)

const (
	// agentsPerArchiver is the number of agents of a region for each one that archives streams.
	// Few write, so that their writes stay a small part of what the store takes.
	agentsPerArchiver = 64
	// archiverKey ranks the agents that archive streams.
	archiverKey = "stream archive"
)

// StreamKey identifies a stream in the archive: a hash of its service and of the id of the
// caller's attempt that got its first event.
type StreamKey uint64

// KeyOf returns the key of a stream.
func KeyOf(service ident.Upstream, request string) StreamKey {
	return StreamKey(xxhash.Sum64String(string(service) + "\x00" + request))
}

// Archiver returns which agent of a router's region archives a stream, or "" if there is none.
func Archiver(request string, agents []Agent) ident.VM {
	vms := make([]ident.VM, len(agents))
	for i, a := range agents {
		vms[i] = a.VM
	}
	archivers := Homes(archiverKey, vms, (len(vms)+agentsPerArchiver-1)/agentsPerArchiver)
	if len(archivers) == 0 {
		return ""
	}
	return Homes(request, archivers, 1)[0]
}
