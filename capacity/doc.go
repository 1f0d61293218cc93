// Command capacity measures the resource use of the system's components at
// several sizes, fits a line to each series, and prints the extrapolated value at
// the target size next to its budget. Everything runs in one process on loopback
// addresses.
package main
