package transport

import (
	"crypto/tls"

	"github.com/quic-go/quic-go"

	"github.com/laureltally/laureltally/wire"
)

const (
	// maxIncomingStreams is the maximum number of streams that a peer has open at once.
	maxIncomingStreams = 4096
	// streamWindowBytes and connWindowBytes limit the flow control windows.
	streamWindowBytes = 1 << 20
	connWindowBytes   = 8 << 20
)

// dialerConfig returns the configuration of the dialing end, which sends keep-alives.
func dialerConfig(o Options) *quic.Config {
	c := listenerConfig(o)
	c.KeepAlivePeriod, c.MaxIdleTimeout = o.KeepAlive, o.DialIdleTimeout
	return c
}

func listenerConfig(o Options) *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           o.HandshakeTimeout,
		MaxIdleTimeout:                 o.IdleTimeout,
		MaxIncomingStreams:             maxIncomingStreams,
		MaxIncomingUniStreams:          -1,
		MaxStreamReceiveWindow:         streamWindowBytes,
		MaxConnectionReceiveWindow:     connWindowBytes,
		InitialStreamReceiveWindow:     streamWindowBytes / 2,
		InitialConnectionReceiveWindow: streamWindowBytes,
	}
}

func withProtocol(c *tls.Config) *tls.Config {
	c = c.Clone()
	c.NextProtos = []string{wire.Protocol}
	c.MinVersion = tls.VersionTLS13
	return c
}
