// Package outlier ejects upstream VMs that fail much more often than others for
// a limited time, and increases their load gradually afterwards.
//
// A VM is healthy, ejected, probing (one request at a time tests whether it has
// recovered) or recovering (its share of the load rises to the full share). A
// Detector reads no clock and is not safe for concurrent use.
package outlier
