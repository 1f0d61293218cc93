package crowd

import (
	"net"
	"strings"
	"testing"

	"github.com/laureltally/laureltally/platform"
)

// postReadiness and getReadiness begin requests at the path of the load balancer's probes.
var (
	postReadiness = request("POST", host, platform.ReadinessPath)
	getReadiness  = request("GET", host, platform.ReadinessPath)
)

// hugeHeader is a header just below what an http.Server reads of one unless it is told less.
const hugeHeader = 900_000

// Guards against headers at the port of the probes that take a multiple of their bytes.
func TestReadinessHeadersOfShortFields(t *testing.T) {
	fields := shortFields(hugeHeader)
	endure(t, startRouter(t, usualLimits), readinessPort, 60, &clients{send: func(c net.Conn, n int) {
		write(c, []string{getReadiness + fields + "\r\n", postReadiness + fields + shortOfBody}[n%2])
	}, reads: true})
}

// Guards against headers without an end at the port of the probes.
func TestReadinessHeadersWithoutEnd(t *testing.T) {
	fields := shortFields(hugeHeader / 10)
	endure(t, startRouter(t, usualLimits), readinessPort, 400, &clients{send: func(c net.Conn, n int) {
		if write(c, getReadiness+fields) && n%2 == 0 {
			endless(c, "a:\r\n", headerPiece)
		}
	}, reads: true})
}

// Guards against bodies at the port of the probes that are read or kept.
func TestReadinessBodies(t *testing.T) {
	large, chunks := strings.Repeat("x", nearLimit), tinyChunks(16_000)
	endure(t, startRouter(t, usualLimits), readinessPort, 400, &clients{send: func(c net.Conn, n int) {
		switch n % 4 {
		case 0:
			bodyShortOfEnd(c, postReadiness, large, false)
		case 1:
			chunksWithoutEnd(c, getReadiness, chunks)
		default:
			overLimit(c, postReadiness, n/2)
		}
	}, reads: true})
}

// Guards against requests sent ahead at the port of the probes while no response is read.
func TestReadinessRequestsAhead(t *testing.T) {
	endure(t, startRouter(t, usualLimits), readinessPort, 60, &clients{send: func(c net.Conn, _ int) { ahead(c, getReadiness+"\r\n", 50_000) }})
}

// Guards against connections that owe a body at the port of the probes and use up the
// descriptors.
func TestReadinessConnectionsThatOweABody(t *testing.T) {
	l := usualLimits
	l.descriptors = fewDescriptors
	endure(t, startRouter(t, l), readinessPort, 1500, &clients{send: func(c net.Conn, n int) {
		write(c, []string{getReadiness, postReadiness}[n%2]+shortOfBody)
	}, reads: true})
}

// Guards against idle connections at the port of the probes that use up the descriptors.
func TestReadinessIdleConnections(t *testing.T) {
	l := usualLimits
	l.descriptors = fewDescriptors
	endure(t, startRouter(t, l), readinessPort, 1500, &clients{send: func(c net.Conn, _ int) { write(c, getReadiness+"\r\n") }, reads: true})
}
