// Package metastore defines the interfaces to the platform's services: a
// versioned object store with conditional updates and watches, and a list of VMs
// that may be some seconds old.
//
// All state that must survive a process is kept in a Store. Support for another
// platform is added by implementing Store and VMLister.
package metastore
