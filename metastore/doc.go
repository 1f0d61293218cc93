// Package metastore is the seam to the platform's services: a versioned object
// API with conditional updates and watches, and a lagging list of VMs.
//
// Everything that must outlive a process is kept behind Store. Another platform
// is plugged in by implementing Store and VMLister.
package metastore
