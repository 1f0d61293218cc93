// Package admission decides which requests an upstream admits, in what order,
// which it refuses, and after what delay their callers should retry.
//
// Queue schedules the requests of one upstream VM. It is a state machine: each
// method takes the current time and returns the resulting actions in order. It
// starts no goroutine, reads no clock and is not safe for concurrent use.
// Limiter limits the request rates of environments and callers.
package admission
