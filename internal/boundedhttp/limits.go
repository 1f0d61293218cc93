package boundedhttp

import "time"

// Limits bound what the clients of a listener may use. The times and LargeHeaderBytes
// may be zero where that is said.
type Limits struct {
	// Connections is the maximum number of connections.
	Connections int
	// HeaderBytes and HeaderLines limit the header of a request with its request line. Each
	// field costs memory beyond its bytes.
	HeaderBytes, HeaderLines int
	// LargeHeaderBytes limits a header that is beyond these limits as long as LargeHeaderBudget
	// has room. Zero means that there are none.
	LargeHeaderBytes int
	// LargeHeaderBudget limits what all large headers cost beyond HeaderBytes and HeaderLines
	// at the same time, in bytes of memory.
	LargeHeaderBudget int
	// HeaderTimeout limits the time to receive a header.
	HeaderTimeout time.Duration
	// RequestTimeout limits the time to receive a request and to run its handler. Zero means
	// no limit.
	RequestTimeout time.Duration
	// WriteTimeout limits the time from the end of the header to the end of the response.
	// Zero means no limit.
	WriteTimeout time.Duration
	// ProgressTimeout limits how long a client may take nothing of a response.
	ProgressTimeout time.Duration
	// IdleTimeout limits the time between two requests.
	IdleTimeout time.Duration
	// ReceiveBuffer and SendBuffer are the kernel's buffers of a connection, in bytes. The
	// kernel takes up to twice as much memory.
	ReceiveBuffer, SendBuffer int
	// BodyTimeout limits the time to receive a body, if handlers read bodies. Zero means that
	// they don't: a connection is closed after the response to a request with a body, which
	// is not read.
	BodyTimeout time.Duration
}

// The limits of a listener for probes, metrics and status.
const (
	smallConnections     = 128
	smallHeaderBytes     = 4 << 10
	smallHeaderLines     = 64
	smallHeaderTimeout   = 5 * time.Second
	smallRequestTimeout  = 5 * time.Second
	smallWriteTimeout    = 10 * time.Second
	smallProgressTimeout = 5 * time.Second
	smallIdleTimeout     = 10 * time.Second
	smallReceiveBuffer   = 8 << 10
	smallSendBuffer      = 16 << 10
)

// Small returns the limits of a listener for small requests without bodies: probes, metrics
// and status.
func Small() Limits {
	return Limits{
		Connections: smallConnections,
		HeaderBytes: smallHeaderBytes, HeaderLines: smallHeaderLines,
		HeaderTimeout: smallHeaderTimeout, RequestTimeout: smallRequestTimeout,
		WriteTimeout: smallWriteTimeout, ProgressTimeout: smallProgressTimeout, IdleTimeout: smallIdleTimeout,
		ReceiveBuffer: smallReceiveBuffer, SendBuffer: smallSendBuffer,
	}
}
