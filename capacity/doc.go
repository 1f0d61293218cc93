// Command capacity measures what the parts of the system cost at several sizes,
// fits a line to each series and prints the value at the size to design for
// beside its budget. Everything runs in one process on loopback addresses.
package main
