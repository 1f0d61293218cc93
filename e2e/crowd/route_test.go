package crowd

import (
	"net"
	"strings"
	"testing"
)

// post and get begin requests at a route.
var (
	post = request("POST", host, "/read/crowd")
	get  = request("GET", host, "/read/crowd")
)

const (
	usualBody = 60_000
	// nearLimit is a legal body that is nearly as large as the limit.
	nearLimit = maxBodyBytes - 1000
)

// Guards against bodies of a usual size that never end and are kept, however many there are.
func TestRouteUsualBodiesShortOfTheirEnd(t *testing.T) {
	body := strings.Repeat("x", usualBody)
	endure(t, startRouter(t, usualLimits), callersPort, 1500, &clients{send: func(c net.Conn, n int) {
		bodyShortOfEnd(c, post, body, n%2 == 0)
	}, reads: true})
}

// Guards against bodies near the limit that never end and are kept, however many there are.
func TestRouteLargeBodiesShortOfTheirEnd(t *testing.T) {
	body := strings.Repeat("x", nearLimit)
	endure(t, startRouter(t, usualLimits), callersPort, 300, &clients{send: func(c net.Conn, n int) {
		bodyShortOfEnd(c, post, body, n%2 == 0)
	}, reads: true})
}

// Guards against many chunks of one byte that cost more than their bytes.
func TestRouteTinyChunksWithoutEnd(t *testing.T) {
	chunks := tinyChunks(16_000)
	endure(t, startRouter(t, usualLimits), callersPort, 1500, &clients{send: func(c net.Conn, _ int) { chunksWithoutEnd(c, post, chunks) }, reads: true})
}

// Guards against bodies over the limit that are read on after they were refused.
func TestRouteBodiesOverTheLimit(t *testing.T) {
	endure(t, startRouter(t, usualLimits), callersPort, 200, &clients{send: func(c net.Conn, n int) { overLimit(c, post, n) }, reads: true})
}

// Guards against large headers that take a multiple of their bytes as long as their request lasts.
func TestRouteLargeHeadersOfShortFields(t *testing.T) {
	fields := shortFields(largeHeaderBytes - headRoom)
	endure(t, startRouter(t, usualLimits), callersPort, 200, &clients{send: func(c net.Conn, _ int) { write(c, post+fields+shortOfBody) }, reads: true})
}

// Guards against large headers of whole requests that take a multiple of their bytes at once.
func TestRouteWholeRequestsOfShortFields(t *testing.T) {
	fields := shortFields(largeHeaderBytes - headRoom)
	endure(t, startRouter(t, usualLimits), callersPort, 200, &clients{send: func(c net.Conn, _ int) { write(c, get+fields+"\r\n") }, reads: true})
}

// Guards against a name that is repeated and takes a multiple of its bytes.
func TestRouteLargeHeadersOfOneName(t *testing.T) {
	fields := repeatedFields(largeHeaderBytes - headRoom)
	endure(t, startRouter(t, usualLimits), callersPort, 400, &clients{send: func(c net.Conn, _ int) { write(c, post+fields+shortOfBody) }, reads: true})
}

// Guards against small headers that take a multiple of their bytes, in great number.
func TestRouteSmallHeadersOfShortFields(t *testing.T) {
	l := usualLimits
	l.headerBytes = smallHeaderBytes
	fields := shortFields(smallHeaderBytes - headRoom)
	endure(t, startRouter(t, l), callersPort, 2000, &clients{send: func(c net.Conn, _ int) { write(c, post+fields+shortOfBody) }, reads: true})
}

// Guards against headers without an end: half of the clients stop, half continue.
func TestRouteHeadersWithoutEnd(t *testing.T) {
	fields := shortFields(smallHeaderBytes - headRoom)
	endure(t, startRouter(t, usualLimits), callersPort, 1000, &clients{send: func(c net.Conn, n int) {
		if write(c, post+fields) && n%2 == 0 {
			endless(c, "a:\r\n", headerPiece)
		}
	}, reads: true})
}

// Guards against requests that are sent ahead while no response is read.
func TestRouteRequestsAhead(t *testing.T) {
	endure(t, startRouter(t, usualLimits), callersPort, 60, &clients{send: func(c net.Conn, _ int) { ahead(c, get+"\r\n", 50_000) }})
}

// Guards against bodies that come a byte at a time.
func TestRouteSlowSenders(t *testing.T) {
	endure(t, startRouter(t, usualLimits), callersPort, 1500, &clients{send: func(c net.Conn, _ int) {
		if write(c, post+"Content-Length: 60000\r\n\r\n") {
			slow(c)
		}
	}})
}

// Guards against responses that nobody reads.
func TestRouteReadersThatTakeNothing(t *testing.T) {
	large := request("GET", host, "/read/large") + "\r\n"
	endure(t, startRouter(t, usualLimits), callersPort, 1000, &clients{send: func(c net.Conn, _ int) {
		_ = c.(*net.TCPConn).SetReadBuffer(4096)
		write(c, large)
	}})
}

// Guards against idle connections and ones that stop half-way that use up the descriptors.
func TestRouteIdleConnections(t *testing.T) {
	endure(t, startRouter(t, limits{headerBytes: largeHeaderBytes, idle: idleTimeout, descriptors: fewDescriptors}), callersPort, 1500, &clients{send: func(c net.Conn, n int) {
		write(c, []string{"", get + "\r\n", get, post + shortOfBody}[n%4])
	}, reads: true})
}
