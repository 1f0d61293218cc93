// Package outlier ejects upstream VMs whose requests fail too often. An ejection
// lasts a limited time, and the load of the VM increases gradually afterwards.
//
// A VM is healthy, ejected, probing (one request at a time tests whether it has
// recovered) or recovering (its share of the load rises to the full share). A
// Detector reads no clock and is not safe for concurrent use.
package outlier
