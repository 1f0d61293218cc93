package transport

import (
	"cmp"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/wire"
)

// Default timeouts. If nothing more is received on a connection, the dialing end closes
// it within DefaultKeepAlive + DefaultDialIdleTimeout, and within
// DefaultDialIdleTimeout after it has sent something.
const (
	// DefaultKeepAlive is how long nothing may be received before the dialing end sends
	// a probe. It equals the interval of reports with 80 routers. quic-go probes at least
	// every half of the idle timeout, so with the defaults after 750 ms.
	DefaultKeepAlive = 2 * time.Second
	// DefaultDialIdleTimeout is the idle timeout of the dialing end. It allows for two
	// lost probes on links with a delay of 90 ms.
	DefaultDialIdleTimeout  = 1500 * time.Millisecond
	DefaultHandshakeTimeout = 2 * time.Second
	// DefaultIdleTimeout is the idle timeout of the listening end, and so the longest
	// that a dialing end can have: the lower one holds for both.
	DefaultIdleTimeout = 5 * time.Second
)

// Options configures a Listener or a Pool.
type Options struct {
	// Hello identifies this process on every connection.
	Hello       wire.Hello
	Credentials Credentials
	// Handler serves the streams that peers open. It may be nil for a Pool.
	Handler          Handler
	Logger           log.Interface
	KeepAlive        time.Duration
	DialIdleTimeout  time.Duration
	HandshakeTimeout time.Duration
	IdleTimeout      time.Duration
}

func (o Options) withDefaults() Options {
	o.KeepAlive = cmp.Or(o.KeepAlive, DefaultKeepAlive)
	o.DialIdleTimeout = cmp.Or(o.DialIdleTimeout, DefaultDialIdleTimeout)
	o.HandshakeTimeout = cmp.Or(o.HandshakeTimeout, DefaultHandshakeTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, DefaultIdleTimeout)
	if o.Logger == nil {
		o.Logger = log.Log
	}
	return o
}
