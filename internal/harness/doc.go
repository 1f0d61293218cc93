// Package harness runs the programs and the stand-ins as separate processes on
// loopback, for tests and for fault injection: it starts, kills, stops and
// restarts them, sends load, and checks the responses.
package harness
