package decisionlog

import (
	"cmp"
	"time"
)

// Defaults of Options.
const (
	// DefaultQueueBytes holds about two seconds of lines at the full rate.
	DefaultQueueBytes = 256 << 10
	// DefaultLinesPerSecond bounds the log volume of one process under overload.
	DefaultLinesPerSecond = 400
	// DefaultFlushInterval is how long a line may be queued before it is written.
	DefaultFlushInterval = 50 * time.Millisecond
)

// Options configures a Writer.
type Options struct {
	QueueBytes     int
	LinesPerSecond int
	FlushInterval  time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

func (o Options) withDefaults() Options {
	o.QueueBytes = cmp.Or(o.QueueBytes, DefaultQueueBytes)
	o.LinesPerSecond = cmp.Or(o.LinesPerSecond, DefaultLinesPerSecond)
	o.FlushInterval = cmp.Or(o.FlushInterval, DefaultFlushInterval)
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}
