package crowd

import (
	"net"
	"testing"
)

// getMetrics and postMetrics begin requests at the port of the metrics.
var (
	getMetrics  = request("GET", host, "/metrics")
	postMetrics = request("POST", host, "/metrics")
)

// Guards against headers at the port of the router's metrics that take a multiple of their
// bytes.
func TestMetricsHeadersOfShortFields(t *testing.T) {
	headersAtMetrics(t, startRouter(t, usualLimits))
}

// Guards against bodies at the port of the router's metrics that are read or kept.
func TestMetricsBodiesOverTheLimit(t *testing.T) {
	endure(t, startRouter(t, usualLimits), metricsPort, 200, &clients{send: func(c net.Conn, n int) { overLimit(c, postMetrics, n) }, reads: true})
}

// Guards against reports of the router's metrics that are asked for ahead and not read.
func TestMetricsRequestsAhead(t *testing.T) {
	requestsAheadAtMetrics(t, startRouter(t, usualLimits))
}

// Guards against connections at the port of the router's metrics that use up the descriptors.
func TestMetricsIdleConnections(t *testing.T) {
	l := usualLimits
	l.descriptors = fewDescriptors
	idleAtMetrics(t, startRouter(t, l))
}

// Guards against headers at the port of the sidecar's metrics that take a multiple of their
// bytes.
func TestSidecarMetricsHeadersOfShortFields(t *testing.T) {
	headersAtMetrics(t, startSidecar(t, manyDescriptors))
}

// Guards against bodies at the port of the sidecar's metrics that are read or kept.
func TestSidecarMetricsBodiesOverTheLimit(t *testing.T) {
	endure(t, startSidecar(t, manyDescriptors), metricsPort, 400, &clients{send: func(c net.Conn, n int) { overLimit(c, postMetrics, n) }, reads: true})
}

// Guards against reports of the sidecar's metrics that are asked for ahead and not read.
func TestSidecarMetricsRequestsAhead(t *testing.T) {
	requestsAheadAtMetrics(t, startSidecar(t, manyDescriptors))
}

// Guards against connections at the port of the sidecar's metrics that use up the descriptors.
func TestSidecarMetricsIdleConnections(t *testing.T) {
	idleAtMetrics(t, startSidecar(t, fewDescriptors))
}

func headersAtMetrics(t *testing.T, v *vm) {
	t.Helper()
	fields := shortFields(hugeHeader)
	endure(t, v, metricsPort, 60, &clients{send: func(c net.Conn, n int) {
		write(c, []string{getMetrics + fields + "\r\n", postMetrics + fields + shortOfBody}[n%2])
	}, reads: true})
}

func requestsAheadAtMetrics(t *testing.T, v *vm) {
	t.Helper()
	endure(t, v, metricsPort, 60, &clients{send: func(c net.Conn, _ int) { ahead(c, getMetrics+"\r\n", 20_000) }})
}

// idleAtMetrics lets a quarter of the clients send nothing, one stay idle after a request, one
// stop within a header and one owe a body.
func idleAtMetrics(t *testing.T, v *vm) {
	t.Helper()
	endure(t, v, metricsPort, 1500, &clients{send: func(c net.Conn, n int) {
		write(c, []string{"", getMetrics + "\r\n", getMetrics, postMetrics + shortOfBody}[n%4])
	}, reads: true})
}
