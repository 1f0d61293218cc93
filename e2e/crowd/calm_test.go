package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/laureltally/laureltally/platform"
)

// idleShare is the share of the idle timeout after which clients use a connection again.
const idleShare = 0.8

// slowPieces is in how many pieces a slow client sends or reads, with slowPause between.
const (
	slowPieces = 20
	slowPause  = 50 * time.Millisecond
)

// calm is one connection of a client.
type calm struct {
	t    *testing.T
	c    net.Conn
	read *bufio.Reader
}

func newCalm(t *testing.T, address string) *calm {
	t.Helper()
	c, err := net.DialTimeout("tcp4", address, dialTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(ordinaryTimeout))
	return &calm{t: t, c: c, read: bufio.NewReaderSize(c, 4096)}
}

// want reads a response with a status, slowly or at once, to its end.
func (c *calm) want(what string, status int, slowly bool) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.read, nil)
	if err != nil {
		c.t.Errorf("%s: %v", what, err)
		return
	}
	defer resp.Body.Close()
	if slowly {
		for range slowPieces {
			time.Sleep(slowPause)
			if _, err := io.CopyN(io.Discard, resp.Body, largeResponseBytes/slowPieces); err != nil {
				c.t.Errorf("%s: %v", what, err)
				return
			}
		}
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != status {
		c.t.Errorf("%s: status %d, want %d, body error %v", what, resp.StatusCode, status, err)
	}
}

// exchanges sends the same requests in calm at a path: whole, slowly, with a legal header of
// short fields, and again on a connection that was idle.
func exchanges(t *testing.T, address, requestHost, path string, status int) {
	t.Helper()
	begin := request("GET", requestHost, path)
	c := newCalm(t, address)
	write(c.c, begin+"\r\n")
	c.want("whole request", status, false)
	time.Sleep(time.Duration(idleShare * float64(shortIdleTimeout)))
	write(c.c, begin+"\r\n")
	c.want("request on an idle connection", status, false)
	c = newCalm(t, address)
	writePieces(c.c, begin+"\r\n", len(begin)/slowPieces+1, slowPause)
	c.want("slow request", status, false)
}

// legalHeader sends one header of the configured size that consists of short fields.
func legalHeader(t *testing.T, address, path string, status int) {
	t.Helper()
	for _, fields := range []string{shortFields(largeHeaderBytes - headRoom), repeatedFields(largeHeaderBytes - headRoom)} {
		c := newCalm(t, address)
		write(c.c, request("GET", host, path)+fields+"\r\n")
		c.want("header of short fields", status, false)
	}
}

var calmLimits = limits{headerBytes: largeHeaderBytes, idle: shortIdleTimeout, descriptors: fewDescriptors}

// Guards against a bound for crowds that refuses a single legal request at a route.
func TestCalmRoute(t *testing.T) {
	v := startRouter(t, calmLimits)
	exchanges(t, v.callers, host, "/read/calm", http.StatusOK)
	legalHeader(t, v.callers, "/read/calm", http.StatusOK)
	body := strings.Repeat("x", maxBodyBytes)
	c := newCalm(t, v.callers)
	write(c.c, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", post, len(body), body))
	c.want("body at the limit", http.StatusOK, false)
	c = newCalm(t, v.callers)
	write(c.c, fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", post, len(body), body))
	c.want("body at the limit in a chunk", http.StatusOK, false)
	c = newCalm(t, v.callers)
	write(c.c, post+"Transfer-Encoding: chunked\r\n\r\n"+tinyChunks(16_000)+"0\r\n\r\n")
	c.want("body in chunks of a byte", http.StatusOK, false)
	c = newCalm(t, v.callers)
	write(c.c, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", post, usualBody))
	writePieces(c.c, body[:usualBody], usualBody/slowPieces, slowPause)
	c.want("slow body", http.StatusOK, false)
	c = newCalm(t, v.callers)
	_ = c.c.(*net.TCPConn).SetReadBuffer(16 << 10)
	write(c.c, request("GET", host, "/read/large")+"\r\n")
	c.want("slow reader", http.StatusOK, true)
}

// Guards against a bound for crowds that refuses a single legal request without a route in
// another way than before.
func TestCalmNoRoute(t *testing.T) {
	v := startRouter(t, calmLimits)
	exchanges(t, v.callers, host, "/nowhere", http.StatusNotFound)
	legalHeader(t, v.callers, "/nowhere", http.StatusNotFound)
	c := newCalm(t, v.callers)
	write(c.c, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", postNowhere, usualBody, strings.Repeat("x", usualBody)))
	c.want("body without a route", http.StatusNotFound, false)
}

// Guards against a bound for crowds that refuses the load balancer's probes.
func TestCalmReadiness(t *testing.T) {
	v := startRouter(t, calmLimits)
	exchanges(t, v.readiness, host, platform.ReadinessPath, http.StatusOK)
}

// Guards against a bound for crowds that refuses a single reader of the router's metrics.
func TestCalmMetrics(t *testing.T) {
	v := startRouter(t, calmLimits)
	c := newCalm(t, v.metrics)
	write(c.c, getMetrics+"\r\n")
	c.want("metrics", http.StatusOK, false)
}

// Guards against a bound for crowds that refuses a single reader of the sidecar's metrics.
func TestCalmSidecarMetrics(t *testing.T) {
	v := startSidecar(t, fewDescriptors)
	c := newCalm(t, v.metrics)
	write(c.c, getMetrics+"\r\n")
	c.want("metrics", http.StatusOK, false)
}
