package router

import (
	"cmp"
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/internal/boundedhttp"
)

// Limits of a caller's connection.
const (
	// headerBytes and headerLines limit the header of a request. A larger one, up to
	// largeHeaderBytes, needs room in largeHeaderBudget.
	headerBytes       = 16 << 10
	headerLines       = 128
	largeHeaderBytes  = 128 << 10
	largeHeaderBudget = 16 << 20
	// readHeaderTimeout limits the time for receiving the header of a request.
	readHeaderTimeout = 10 * time.Second
	// progressTimeout is how long a caller may take nothing of a response.
	progressTimeout = time.Minute
	// idleTimeout is the time after which idle connections of callers are closed.
	idleTimeout = 120 * time.Second
	// receiveBuffer and sendBuffer are the kernel's buffers for a caller.
	receiveBuffer = 32 << 10
	sendBuffer    = 32 << 10
)

// callerLimits returns the limits of the listener for callers. The time of a request is not
// limited there: a stream may take long.
func callerLimits(o Options) boundedhttp.Limits {
	return boundedhttp.Limits{
		Connections: cmp.Or(o.Settings.MaxConnections, config.DefaultMaxConnections),
		HeaderBytes: headerBytes, HeaderLines: headerLines,
		LargeHeaderBytes: largeHeaderBytes, LargeHeaderBudget: largeHeaderBudget,
		HeaderTimeout: readHeaderTimeout, BodyTimeout: o.BodyTimeout,
		ProgressTimeout: progressTimeout, IdleTimeout: idleTimeout,
		ReceiveBuffer: receiveBuffer, SendBuffer: sendBuffer,
	}
}
