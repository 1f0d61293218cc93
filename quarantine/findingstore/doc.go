// Package findingstore keeps findings of package quarantine in the metadata store:
// quarantines, for processes that start when no other remembers them, and crashes, for
// routers while sidecars may not pass them on.
package findingstore
