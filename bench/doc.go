// Command bench measures the decisions of laureltally on virtual time, with
// fixed seeds, beside named baselines, and prints one table.
package main
