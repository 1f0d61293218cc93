package objecthttp

import (
	"net/http"
	"time"
)

// Defaults and limits of the client.
const (
	DefaultTimeout      = 5 * time.Second
	DefaultWatchTimeout = 10 * time.Second
	DefaultMaxListBytes = 16 << 20

	// maxIdleConns is the maximum number of idle connections to the server.
	maxIdleConns = 32
	// maxLineBytes is the maximum length of a watch line: a value in base64 and
	// the JSON around it.
	maxLineBytes = 2 << 20
	// maxProblemBytes is the maximum size of the body of a failed call.
	maxProblemBytes = 64 << 10
)

// Options configures a Client.
type Options struct {
	// BaseURL is the URL of the object API, for example "http://10.0.0.1:7000".
	BaseURL string
	// HTTP makes the calls; nil means a client with its own connection pool.
	HTTP *http.Client
	// Timeout bounds each call except a watch. Zero means DefaultTimeout.
	Timeout time.Duration
	// WatchTimeout is the time without events and heartbeats after which a watch
	// ends. Zero means DefaultWatchTimeout.
	WatchTimeout time.Duration
	// MaxListBytes bounds the response to a list call. Zero means
	// DefaultMaxListBytes.
	MaxListBytes int64
}
