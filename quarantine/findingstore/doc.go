// Package findingstore keeps findings of package quarantine in the metadata store:
// quarantines, for processes that start when no other remembers them, and crashes, for
// routers while no sidecar passes them on.
package findingstore
