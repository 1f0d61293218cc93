package fleet

// Listing is the list of registered VMs at one moment.
type Listing struct {
	VMs []VM
	// Malformed holds the errors of entries that were skipped.
	Malformed []error
	// Restores is how often the store had been restored from an older copy. A listing
	// of a restored store may be some seconds older than the one before.
	Restores uint64
}
