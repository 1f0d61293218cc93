// Package boundedhttp serves HTTP at a listening address whose clients may misbehave: it
// bounds the connections, what a header may cost, how long a client may owe something, and
// the kernel's buffers. When all places are taken, the connections that have waited for
// their clients longest are closed to make room, so that ordinary clients are still served.
package boundedhttp
