package transport

import (
	"cmp"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/wire"
)

// Default times. A silent connection is given up at the latest
// DefaultKeepAlive + DefaultSilence after it went silent, and DefaultSilence after
// something was sent on it.
const (
	// DefaultKeepAlive is how long nothing may come before the end that dialed asks
	// for a sign of life. It is the interval of reports at 80 routers.
	DefaultKeepAlive = 2 * time.Second
	// DefaultSilence leaves room for two lost probes on links of 90 ms.
	DefaultSilence          = 1500 * time.Millisecond
	DefaultHandshakeTimeout = 2 * time.Second
	// DefaultIdleTimeout is when the end that did not dial gives the other up: after
	// two probes have not come.
	DefaultIdleTimeout = 5 * time.Second
)

// Options configures a Listener or a Pool.
type Options struct {
	// Hello is what this process says of itself on every connection.
	Hello       wire.Hello
	Credentials Credentials
	// Handler serves the streams that peers open. A Pool may do without.
	Handler          Handler
	Logger           log.Interface
	KeepAlive        time.Duration
	Silence          time.Duration
	HandshakeTimeout time.Duration
	IdleTimeout      time.Duration
}

func (o Options) withDefaults() Options {
	o.KeepAlive = cmp.Or(o.KeepAlive, DefaultKeepAlive)
	o.Silence = cmp.Or(o.Silence, DefaultSilence)
	o.HandshakeTimeout = cmp.Or(o.HandshakeTimeout, DefaultHandshakeTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, DefaultIdleTimeout)
	if o.Logger == nil {
		o.Logger = log.Log
	}
	return o
}
