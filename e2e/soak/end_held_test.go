package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/laureltally/laureltally/internal/sockopt"
)

// endHeldWorker is added to the worker of TestOrder, which selects the addresses.
const endHeldWorker = 3

// Rule ORDER: guards against a stream that looks complete at a caller that reads slowly, when the
// router is killed after it has taken the whole stream from the server and holds its end itself.
func TestKilledRouterThatHoldsAnEndResets(t *testing.T) { endHeldByRouter(t, syscall.SIGKILL) }

// The same, when the router is stopped: it exits at the end of its grace.
func TestStoppedRouterThatHoldsAnEndResets(t *testing.T) { endHeldByRouter(t, syscall.SIGTERM) }

// endHeldByRouter ends a router that holds the ends of streams for callers that begin to read
// afterwards.
func endHeldByRouter(t *testing.T, end syscall.Signal) {
	// How much of a stream the kernel takes depends on its buffers, so that sizes differ.
	const events, leastPadding, paddingStep = 12, 1000, 800
	in := newInstallation(t, orderWorker(t)+endHeldWorker, size{routers: 1, engines: 1, ownStores: true, engineProcesses: true, memoryMB: 256})
	defer in.close()
	in.awaitServed(0, softwareVersions[0])
	callers := make(map[string]net.Conn)
	for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for n := range 6 {
			id := fmt.Sprintf("held-%s-%d", proto, n)
			d := net.Dialer{Control: sockopt.ReceiveBuffer(4 << 10)}
			c, err := d.DialContext(t.Context(), "tcp4", in.routerAddress(0))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if _, err := fmt.Fprintf(c, "POST /draft/a %s\r\nHost: %s\r\nContent-Length: 1\r\nX-Request-Id: %s\r\nX-Token-Counts: 100,50\r\nX-Prompt-Prefix: a1:50,b2:50\r\nX-Deadline-Ms: 12000\r\nX-Model: %s\r\n%s: %d\r\n%s: 5\r\n%s: %d\r\n\r\nx",
				proto, host, id, modelNames[0], headerEvents, events, headerInterval, headerPadding, leastPadding+n*paddingStep); err != nil {
				t.Fatal(err)
			}
			callers[id] = c
		}
	}
	time.Sleep(1500 * time.Millisecond)
	in.routers[0].signal(end)
	<-in.routers[0].done
	in.routers[0].done <- nil
	for id, c := range callers {
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
		if err != nil {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		if got, _ := parseEvents(string(body)); err == nil && len(got) < events {
			t.Errorf("%s looks complete after %d of %d events", id, len(got), events)
		}
	}
}
