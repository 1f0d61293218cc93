// Package fleet tracks the upstream VMs of an installation: which exist, where
// they are and which are leaving.
//
// Tracker derives this from listings of the metadata store. It reads no clock,
// does no I/O and is not safe for concurrent use.
package fleet
