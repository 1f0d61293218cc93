// Package e2e holds tests of the programs as separate processes.
package e2e
