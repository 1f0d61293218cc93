package ingress

import (
	"net/http"

	"github.com/laureltally/laureltally/upstreamhttp"
)

// beginResponse sends the header of an upstream's response. The header states how the end is
// marked no better than the upstream did.
func (d *delivery) beginResponse(status int, h http.Header, f upstreamhttp.Framing) {
	copyHeader(d.w.Header(), h)
	switch {
	case f == upstreamhttp.FramingConnection && d.r.Method != http.MethodHead:
		// net/http then marks the end with that of the connection only.
		d.w.Header().Set("Transfer-Encoding", "identity")
		d.endWithConnection()
	case !d.r.ProtoAtLeast(1, 1) && d.w.Header().Get("Content-Length") == "":
		d.endWithConnection()
	}
	d.w.WriteHeader(status)
}

// endWithConnection prepares a response whose end only that of the connection marks. Until all
// of it has been written, the connection is reset when it ends, also by the end of this process,
// so that the response does not look complete.
func (d *delivery) endWithConnection() {
	d.endsWithConnection = true
	if d.conn != nil {
		d.conn.resetUnlessWritten()
	} else if c := callerSocketOf(d.r.Context()); c != nil {
		// It fails only on a closed connection.
		_ = c.SetLinger(0)
	}
}

// completed records that the final response has been written to its end.
func (d *delivery) completed() {
	d.answered = true
	if !d.endsWithConnection {
		return
	}
	if d.conn != nil {
		d.conn.responseGiven()
		return
	}
	// Without a budget, nothing is buffered beyond this.
	d.answered = http.NewResponseController(d.w).Flush() == nil
	if c := callerSocketOf(d.r.Context()); d.answered && c != nil {
		_ = c.SetLinger(-1)
	}
}
