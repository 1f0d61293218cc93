package upstreamhttp

import (
	"cmp"
	"time"
)

// Defaults of Options.
const (
	// DefaultDialTimeout allows for a link with a one-way delay of 30 ms and a slow
	// accept, but not for the retransmission of a lost SYN.
	DefaultDialTimeout = 600 * time.Millisecond
	// DefaultUnackedTimeout is how long sent bytes may stay unacknowledged before the
	// peer is considered unreachable.
	DefaultUnackedTimeout = 1500 * time.Millisecond
	// DefaultIdleTimeout is how long an idle connection may be reused if the upstream
	// sends no Keep-Alive timeout.
	DefaultIdleTimeout = 4 * time.Second
	// DefaultMaxIdle is the maximum number of idle connections to one VM.
	DefaultMaxIdle = 32
)

// Options configures a Client.
type Options struct {
	DialTimeout    time.Duration
	UnackedTimeout time.Duration
	IdleTimeout    time.Duration
	MaxIdle        int
	// ReceiveBuffer is the size of the kernel's receive buffers in bytes; zero leaves it
	// to the kernel.
	ReceiveBuffer int
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

func (o Options) withDefaults() Options {
	o.DialTimeout = cmp.Or(o.DialTimeout, DefaultDialTimeout)
	o.UnackedTimeout = cmp.Or(o.UnackedTimeout, DefaultUnackedTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, DefaultIdleTimeout)
	o.MaxIdle = cmp.Or(o.MaxIdle, DefaultMaxIdle)
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}
