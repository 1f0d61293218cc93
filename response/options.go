package response

import (
	"time"

	"github.com/apex/log"
)

// Defaults of Options.
const (
	DefaultTailBytes  = 2 << 20
	DefaultTotalBytes = 256 << 20
	DefaultRetention  = time.Minute
	DefaultStall      = 30 * time.Second
)

// Options sets the bounds of a Registry. Zero fields take the defaults.
type Options struct {
	// TailBytes is how much of one answer is kept, in bytes. Half of it is for
	// what a reader has taken already, so that it must not be less than twice
	// the stream receive window of the connections to routers: what is lost
	// with a connection is at most that.
	TailBytes int64
	// TotalBytes bounds the bytes kept of all answers.
	TotalBytes int64
	// Retention is how long an ended answer is kept that was begun without a
	// retention of its own.
	Retention time.Duration
	// Stall is how long a writer waits for space before it gives up: on a
	// reader that does not read, which is then detached, or for a reader to
	// come.
	Stall time.Duration
	// Now is the clock. It defaults to time.Now.
	Now func() time.Time
	Log log.Interface
}

func (o Options) withDefaults() Options {
	if o.TailBytes == 0 {
		o.TailBytes = DefaultTailBytes
	}
	if o.TotalBytes == 0 {
		o.TotalBytes = DefaultTotalBytes
	}
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	if o.Stall == 0 {
		o.Stall = DefaultStall
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = log.Log
	}
	return o
}
