package transport

import (
	"cmp"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/wire"
)

// Default times of the ping protocol. A silent connection is replaced at the
// latest DefaultPingInterval + DefaultPingTimeout after it went silent.
const (
	DefaultPingInterval     = 500 * time.Millisecond
	DefaultPingTimeout      = 1500 * time.Millisecond
	DefaultHandshakeTimeout = 2 * time.Second
	// DefaultIdleTimeout is when the end that did not dial notices that the other
	// is gone: after ten pings have not come.
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
	PingInterval     time.Duration
	PingTimeout      time.Duration
	HandshakeTimeout time.Duration
	IdleTimeout      time.Duration
}

func (o Options) withDefaults() Options {
	o.PingInterval = cmp.Or(o.PingInterval, DefaultPingInterval)
	o.PingTimeout = cmp.Or(o.PingTimeout, DefaultPingTimeout)
	o.HandshakeTimeout = cmp.Or(o.HandshakeTimeout, DefaultHandshakeTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, DefaultIdleTimeout)
	if o.Logger == nil {
		o.Logger = log.Log
	}
	return o
}
