package crowd

import (
	"net"
	"strings"
	"testing"
)

// postNowhere and getNowhere begin requests at a path without a route.
var (
	postNowhere = request("POST", host, "/nowhere")
	getNowhere  = request("GET", host, "/nowhere")
)

// Guards against bodies without a route that are waited for without an end.
func TestNoRouteBodiesShortOfTheirEnd(t *testing.T) {
	usual, large := strings.Repeat("x", usualBody), strings.Repeat("x", nearLimit)
	endure(t, startRouter(t, usualLimits), callersPort, 1000, &clients{send: func(c net.Conn, n int) {
		if n%10 == 0 {
			bodyShortOfEnd(c, postNowhere, large, false)
			return
		}
		bodyShortOfEnd(c, postNowhere, usual, n%2 == 0)
	}, reads: true})
}

// Guards against bodies without a route and over the limit that are read on.
func TestNoRouteBodiesOverTheLimit(t *testing.T) {
	endure(t, startRouter(t, usualLimits), callersPort, 400, &clients{send: func(c net.Conn, n int) { overLimit(c, postNowhere, n) }, reads: true})
}

// Guards against headers without a route that take a multiple of their bytes.
func TestNoRouteLargeHeadersOfShortFields(t *testing.T) {
	fields := shortFields(largeHeaderBytes - headRoom)
	endure(t, startRouter(t, usualLimits), callersPort, 200, &clients{send: func(c net.Conn, _ int) { write(c, postNowhere+fields+shortOfBody) }, reads: true})
}

// Guards against requests without a route that are sent ahead while no response is read.
func TestNoRouteRequestsAhead(t *testing.T) {
	endure(t, startRouter(t, usualLimits), callersPort, 60, &clients{send: func(c net.Conn, _ int) { ahead(c, getNowhere+"\r\n", 50_000) }})
}

// Guards against connections that owe a body without a route and use up the descriptors.
func TestNoRouteConnectionsThatOweABody(t *testing.T) {
	l := usualLimits
	l.descriptors = fewDescriptors
	endure(t, startRouter(t, l), callersPort, 1500, &clients{send: func(c net.Conn, _ int) { write(c, postNowhere+shortOfBody) }, reads: true})
}
