package transport

import (
	"context"
	"crypto/tls"
	"fmt"

	"github.com/quic-go/quic-go"
)

// dialOwnSocket dials from a new UDP port, which is closed with the connection.
func dialOwnSocket(ctx context.Context, address string, o Options, tc *tls.Config) (*quic.Conn, error) {
	raw, err := quic.DialAddr(ctx, address, withProtocol(tc), dialerConfig(o))
	if err != nil {
		return nil, fmt.Errorf("quic: %w", err)
	}
	return raw, nil
}
