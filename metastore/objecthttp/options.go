package objecthttp

import (
	"net/http"
	"time"
)

// Defaults and bounds of the client.
const (
	DefaultTimeout      = 5 * time.Second
	DefaultSilence      = 10 * time.Second
	DefaultMaxListBytes = 64 << 20

	// maxIdleConns is how many idle connections are kept.
	maxIdleConns = 32
	// maxLineBytes bounds a line of a watch: a value in base64 and its frame.
	maxLineBytes = 2 << 20
	// maxProblemBytes bounds the body of a failed call.
	maxProblemBytes = 64 << 10
)

// Options configures a Client.
type Options struct {
	// BaseURL is that of the object API, for example "http://10.0.0.1:7000".
	BaseURL string
	// HTTP makes the calls; nil takes a client with a pool of its own.
	HTTP *http.Client
	// Timeout bounds each call but a watch. Zero takes DefaultTimeout.
	Timeout time.Duration
	// Silence ends a watch on which nothing arrived for so long, heartbeats
	// included. Zero takes DefaultSilence.
	Silence time.Duration
	// MaxListBytes bounds the answer to a list. Zero takes DefaultMaxListBytes.
	MaxListBytes int64
}
