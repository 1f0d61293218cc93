package agent

import (
	"net/http"
	"time"

	"github.com/laureltally/laureltally/internal/httpclient"
)

const (
	// upstreamIdleConns is the maximum number of idle connections to the upstream.
	upstreamIdleConns = 64
	// upstreamIdleTimeout is how long idle connections to the upstream stay open.
	upstreamIdleTimeout = 30 * time.Second
)

// newHTTPClient returns a client that does not follow redirects. It may repeat
// a request whose connection broke if the request is idempotent by its method,
// or has an Idempotency-Key and no body.
func newHTTPClient() *http.Client {
	return &http.Client{
		Transport: httpclient.NewTransport(&http.Transport{
			MaxIdleConnsPerHost: upstreamIdleConns,
			IdleConnTimeout:     upstreamIdleTimeout,
			DisableCompression:  true,
		}),
		CheckRedirect: keepRedirect,
	}
}

// newOnceClient returns a client that sends each request at most once. net/http
// repeats requests only on reused connections, and this client never reuses
// one.
func newOnceClient() *http.Client {
	return &http.Client{
		Transport: httpclient.NewTransport(&http.Transport{
			DisableKeepAlives:  true,
			DisableCompression: true,
		}),
		CheckRedirect: keepRedirect,
	}
}

func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
