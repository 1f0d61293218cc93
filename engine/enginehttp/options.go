package enginehttp

import (
	"net/http"
	"time"
)

// Defaults and bounds of the client.
const (
	DefaultTimeout = 5 * time.Second

	// maxIdleConns is the maximum number of idle connections.
	maxIdleConns = 8
	// maxResponseBytes limits the size of a response of the admin API.
	maxResponseBytes = 8 << 20
)

// Options configures a Client.
type Options struct {
	// BaseURL is the base URL of the engine, for example "http://127.0.0.1:8000".
	BaseURL string
	// HTTP is the client for the calls; nil creates one with its own connections.
	HTTP *http.Client
	// Timeout limits each call. Zero means DefaultTimeout.
	Timeout time.Duration
}
