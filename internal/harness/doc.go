// Package harness runs the programs as separate processes on loopback, with the
// stand-ins, for tests and for the failure runs: it starts, kills, stops and
// restarts them, sends load, and checks what comes back.
package harness
