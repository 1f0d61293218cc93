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

// Options configures a Registry. Zero fields take the defaults.
type Options struct {
	// TailBytes is how much of one response is retained, in bytes. Half of it is
	// for bytes that a reader has taken already. It must be at least twice the
	// stream receive window of the connections to routers, since up to that much is
	// lost with a connection.
	TailBytes int64
	// TotalBytes bounds the bytes retained of all responses.
	TotalBytes int64
	// Retention is how long an ended response is retained, unless it was started
	// with its own retention.
	Retention time.Duration
	// Stall is how long a writer waits for space. Then it detaches the slowest
	// reader if that one blocks it, and fails otherwise.
	Stall time.Duration
	// Now returns the time. It defaults to time.Now.
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
