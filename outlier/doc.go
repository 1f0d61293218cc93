// Package outlier takes upstream VMs that fail much more than others out of the
// choice for a while, and lets them back gradually.
//
// A VM is healthy, ejected, probing (one request at a time tells whether it has
// recovered) or recovering (its share of the load rises to the whole). Ejector
// reads no clock and is not safe for concurrent use.
package outlier
