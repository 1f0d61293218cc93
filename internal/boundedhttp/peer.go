package boundedhttp

import (
	"container/list"
	"sync/atomic"
	"time"
)

// peer is a connection as admission sees it.
type peer struct {
	phase phase
	// since is when the client began to owe something, or to be idle.
	since time.Time
	// requests counts the requests that were served.
	requests int
	// queue has the peer as place while it waits.
	queue *list.List
	place *list.Element
	// writing is when a write began that has not ended, in nanoseconds of the clock; 0 if
	// there is none. It is written without admission's lock.
	writing atomic.Int64
	// ready reports whether the client has sent something that was not read yet.
	ready func() bool
	// reset closes the connection; what the kernel holds for it is discarded.
	reset func()
}
