package agent

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/laureltally/laureltally/upstreamhttp"
	"github.com/laureltally/laureltally/wire"
)

// probeTimeout bounds the question whether the upstream, on the same VM, accepts connections.
const probeTimeout = 500 * time.Millisecond

// endMarked reports whether the upstream itself has marked the end of a response that was
// received. Otherwise only the end of the connection does.
func endMarked(d *wire.Dispatch, resp *http.Response) bool {
	return upstreamhttp.FramingOf(resp) != upstreamhttp.FramingConnection || d.Method == http.MethodHead
}

// checkEnd returns an error if nothing shows that an unmarked end is one: the upstream has ended,
// and the kernel closes the connections of a killed process like those of one that is done. An
// upstream that is drained may close its port before its last responses. Streams end with
// the API's final event.
func (a *Agent) checkEnd(ctx context.Context, d *wire.Dispatch) error {
	if d.Stream || a.draining.Load() {
		return nil
	}
	if err := probe(ctx, a.o.Settings.UpstreamURL); err != nil {
		return fmt.Errorf("end of the response not marked: %w", err)
	}
	return nil
}

// probe returns an error if nobody accepts connections at a URL.
func probe(ctx context.Context, base string) error {
	u, err := url.Parse(base)
	if err != nil {
		return fmt.Errorf("upstream URL: %w", err)
	}
	port := u.Port()
	if port == "" {
		port = u.Scheme
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", net.JoinHostPort(u.Hostname(), port))
	if err != nil {
		return fmt.Errorf("upstream accepts no connection: %w", err)
	}
	return conn.Close()
}
