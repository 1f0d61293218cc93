package httpclient

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/laureltally/laureltally/internal/headlimit"
	"github.com/laureltally/laureltally/internal/resetconn"
	"github.com/laureltally/laureltally/internal/responsehead"
)

// maxTLSHeadBytes bounds a head where headlimit does not, which is on connections with TLS. It is
// larger than headlimit.MaxBytes, because net/http's own error has no type.
const maxTLSHeadBytes = headlimit.MaxBytes + 4<<10

// Transport is an http.RoundTripper that bounds and checks the heads of responses. A request fails with
// a *headlimit.SizeError if the head exceeds the limits, and with a *responsehead.SyntaxError if it is
// malformed. It is safe for concurrent use.
type Transport struct{ base *http.Transport }

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a Transport that sends requests with base, which it takes over.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
		// net/http switches HTTP/2 off where it is given a dialer.
		base.ForceAttemptHTTP2 = true
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: resetconn.New(c)}, nil
	}
	base.MaxResponseHeaderBytes = maxTLSHeadBytes
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var (
		c    *conn
		head uint64
	)
	// A request that is repeated gets another connection.
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, _ = info.Conn.(*conn); c != nil {
			head = c.beginHead()
		}
	}}
	resp, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	var headErr error
	if c != nil {
		headErr = c.endHead(head)
	}
	switch {
	case err != nil && headErr != nil:
		return nil, fmt.Errorf("%w: %w", headErr, err)
	case err != nil:
		return nil, err
	}
	// The bytes of connections with TLS are not seen.
	if err := responsehead.Check(resp.StatusCode, resp.Header); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
