// Package e2e contains end-to-end tests of the programs as separate processes.
package e2e
