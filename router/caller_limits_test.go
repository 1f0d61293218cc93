package router

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/laureltally/laureltally/internal/boundedhttp/boundedhttptest"
	"github.com/laureltally/laureltally/metastore"
)

// crowdedConnections is the number of connections of the listener under test.
const crowdedConnections = 32

// noVMs is an empty list.
type noVMs struct{}

func (noVMs) ListVMs(context.Context) ([]metastore.VM, error) { return nil, nil }

// servedRouter serves callers and returns their address.
func servedRouter(t *testing.T) string {
	t.Helper()
	s := testServer(t)
	s.o.VMs = noVMs{}
	s.o.Settings.AdminListen = "127.0.0.1:0"
	s.o.Settings.MaxConnections = crowdedConnections
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, ln) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String()
}

// A crowd of callers must neither use up the memory nor keep ordinary callers out.
func TestCrowdOfCallers(t *testing.T) {
	limits := callerLimits(Options{})
	limits.Connections = crowdedConnections
	boundedhttptest.Crowds(t, servedRouter(t), limits, "/healthz", http.StatusOK)
}

// A caller whose large body is refused must get the refusal, and those that owe the rest of
// such bodies must not keep ordinary callers out.
func TestOwedLargeBodiesLeaveRoom(t *testing.T) {
	address := servedRouter(t)
	var last net.Conn
	for range 2 * crowdedConnections {
		c, err := net.Dial("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if _, err := fmt.Fprint(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\na"); err != nil {
			t.Fatal(err)
		}
		last = c
	}
	boundedhttptest.Get(t, address, "/healthz", http.StatusOK)
	resp, err := http.ReadResponse(bufio.NewReader(last), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusUnauthorized {
		t.Fatalf("status %d", resp.StatusCode)
	}
}
