// Package boundedhttptest tests listeners with crowds of clients that misbehave.
package boundedhttptest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"github.com/laureltally/laureltally/internal/boundedhttp"
)

const (
	// crowdFactor is the number of connections of a crowd for each place.
	crowdFactor = 2
	// heldBytes is what a place may hold: stacks, buffers and a parsed header.
	heldBytes = 64 << 10
	// clientBytes is the same for a test's own end of a connection.
	clientBytes = 4 << 10
	// shortFieldsBytes is the size of a header that exceeds all limits.
	shortFieldsBytes = 64 << 10
)

// crowds returns what the clients of each crowd send and then leave at that.
func crowds() map[string]string {
	var fields strings.Builder
	fields.WriteString("GET / HTTP/1.1\r\nHost: x\r\n")
	for i := 0; fields.Len() < shortFieldsBytes; i++ {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	return map[string]string{
		"short fields":           fields.String(),
		"body one byte short":    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\na",
		"chunk without an end":   "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\na",
		"idle":                   "",
		"idle after one request": "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
	}
}

// Crowds checks that the listener at an address still serves an ordinary GET of path with
// the wanted status while more clients than it has places owe something or are idle, that
// it holds no more connections than its limit, and that these take no more than 64 KB each
// beside the budget for large headers.
func Crowds(t *testing.T, address string, l boundedhttp.Limits, path string, want int) {
	t.Helper()
	for name, sent := range crowds() {
		t.Run(name, func(t *testing.T) { crowd(t, address, l, sent, path, want) })
	}
}

func crowd(t *testing.T, address string, l boundedhttp.Limits, sent, path string, want int) {
	t.Helper()
	before := inUse()
	clients := make([]net.Conn, crowdFactor*l.Connections)
	for i := range clients {
		c, err := net.Dial("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		// The server may refuse it or close it.
		_, _ = io.WriteString(c, sent)
		clients[i] = c
	}
	Get(t, address, path, want)
	if n := open(t, clients); n > l.Connections {
		t.Errorf("%d connections are open", n)
	}
	if held := inUse() - before; held > int64(l.Connections*heldBytes+l.LargeHeaderBudget+len(clients)*clientBytes) {
		t.Errorf("%d bytes are held", held)
	}
}

// Get makes one ordinary request over a connection of its own.
func Get(t *testing.T, address, path string, want int) {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != want {
		t.Fatalf("status %d", resp.StatusCode)
	}
}

// open returns how many connections the server has not closed.
func open(t *testing.T, clients []net.Conn) int {
	t.Helper()
	n := 0
	for _, c := range clients {
		raw, err := c.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		if err := raw.Control(func(fd uintptr) {
			if isOpen(int(fd)) {
				n++
			}
		}); err != nil {
			t.Fatal(err)
		}
	}
	return n
}

// isOpen reads what has arrived and reports whether the connection is still open after it.
func isOpen(fd int) bool {
	p := make([]byte, clientBytes)
	for {
		n, _, err := unix.Recvfrom(fd, p, unix.MSG_DONTWAIT)
		if n <= 0 {
			return errors.Is(err, unix.EAGAIN)
		}
	}
}

// inUse returns the bytes of live objects and stacks, without what was allocated since.
func inUse() int64 {
	runtime.GC()
	runtime.GC() // A pool keeps its objects for one.
	samples := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() + samples[1].Value.Uint64())
}
