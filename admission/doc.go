// Package admission decides which requests an upstream takes, in what order,
// and which are refused and when their callers should come back.
//
// Queue stands in front of one upstream VM. It is a state machine: every method
// takes the current time and returns the actions that follow from the event, in
// order. It starts no goroutine, reads no clock and is not safe for concurrent
// use. Limiter bounds the rates of environments and callers.
package admission
