// Package fleet keeps what a process believes of the upstream VMs of an
// installation: which exist, where they are and which are leaving.
//
// Roster turns listings of the metadata store into that belief. It reads no
// clock, does no I/O and is not safe for concurrent use.
package fleet
