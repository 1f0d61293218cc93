// Command bench measures the policies of laureltally on virtual time, with fixed
// seeds, compares them with named baselines, and prints one table.
package main
