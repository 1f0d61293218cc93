package enginehttp

import (
	"net/http"
	"time"
)

// Defaults and bounds of the client.
const (
	DefaultTimeout = 5 * time.Second

	// maxIdleConns is how many idle connections are kept.
	maxIdleConns = 8
	// maxAnswerBytes bounds an answer of the admin API.
	maxAnswerBytes = 8 << 20
)

// Options configures a Client.
type Options struct {
	// BaseURL is that of the engine, for example "http://127.0.0.1:8000".
	BaseURL string
	// HTTP makes the calls; nil takes a client with a pool of its own.
	HTTP *http.Client
	// Timeout bounds each call. Zero takes DefaultTimeout.
	Timeout time.Duration
}
