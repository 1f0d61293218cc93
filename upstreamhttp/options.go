package upstreamhttp

import (
	"cmp"
	"time"
)

// Defaults of Options.
const (
	// DefaultDialTimeout covers a link of 30 ms one way and a slow accept; an
	// opening packet that is lost is not waited for.
	DefaultDialTimeout = 600 * time.Millisecond
	// DefaultUnackedTimeout is how long sent bytes may stay unacknowledged before
	// the peer counts as cut off.
	DefaultUnackedTimeout = 1500 * time.Millisecond
	// DefaultIdleTimeout is how long an unused connection is kept if the upstream
	// does not say how long it keeps it.
	DefaultIdleTimeout = 4 * time.Second
	// DefaultMaxIdle bounds the unused connections to one VM.
	DefaultMaxIdle = 32
)

// Options configures a Client.
type Options struct {
	DialTimeout    time.Duration
	UnackedTimeout time.Duration
	IdleTimeout    time.Duration
	MaxIdle        int
	// Now is the clock; nil takes time.Now.
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
