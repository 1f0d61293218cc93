// Command bench measures the policies of laureltally on virtual time, with fixed
// seeds, compares them with named baselines, and prints one table. The cost of a
// routing decision and the latency of the path are measured in real time.
package main
