package boundedhttp

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sys/unix"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testConnections = 16
	testCrowd       = 4 * testConnections
	// heldLimit is what a connection may hold at both ends of a test, in bytes: stacks,
	// buffers and the parsed header.
	heldLimit = 64 << 10
)

// opened serves h with small limits and returns the listener, whose clock and kernel are
// real.
func opened(t *testing.T, h http.HandlerFunc) *Listener {
	t.Helper()
	limits := Small()
	limits.Connections = testConnections
	return openedWith(t, limits, h)
}

func openedWith(t *testing.T, limits Limits, h http.HandlerFunc) *Listener {
	t.Helper()
	l, err := Listen("tcp4", "127.0.0.1:0", limits)
	if err != nil {
		t.Fatal(err)
	}
	server := l.Server(h)
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	t.Cleanup(func() {
		if err := server.Close(); err != nil {
			t.Error(err)
		}
		if err := <-done; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return l
}

func dial(t *testing.T, l *Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// probe makes one ordinary request over a connection of its own.
func probe(t *testing.T, l *Listener) {
	t.Helper()
	ask(t, dial(t, l))
}

// ask makes one ordinary request.
func ask(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d", resp.StatusCode)
	}
}

func (l *Listener) taken() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.admission.peers)
}

// inUse returns the bytes of live objects and stacks, without what was allocated since.
func inUse() uint64 {
	runtime.GC()
	runtime.GC() // A pool keeps its objects for one.
	samples := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() + samples[1].Value.Uint64()
}

func ok(http.ResponseWriter, *http.Request) {}

// shortFields returns a header of a number of bytes without an end.
func shortFields(size int) string {
	var b strings.Builder
	b.WriteString("GET / HTTP/1.1\r\nHost: x\r\n")
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// A crowd of any kind must neither keep an ordinary client out nor hold more than its
// places.
func TestCrowdLeavesRoom(t *testing.T) {
	crowds := map[string]string{
		"short fields":             shortFields(900 << 10),
		"a part of a header":       shortFields(smallHeaderBytes)[:smallHeaderLines*4],
		"body one byte short":      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\na",
		"large body, one byte":     "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\na",
		"chunk without an end":     "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\na",
		"idle":                     "",
		"idle after one request":   "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
		"idle after two requests":  strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 2),
		"requests ahead, not read": strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 20_000),
	}
	for name, sent := range crowds {
		t.Run(name, func(t *testing.T) {
			l := opened(t, ok)
			before := inUse()
			for range testCrowd {
				c := dial(t, l)
				// The server may refuse or close it. What it does not take is not waited for.
				_ = c.SetWriteDeadline(time.Now().Add(time.Millisecond))
				_, _ = io.WriteString(c, sent)
			}
			probe(t, l)
			if n := l.taken(); n > testConnections {
				t.Errorf("%d connections are open", n)
			}
			if held := int64(inUse()) - int64(before); held > testConnections*heldLimit+testCrowd*4<<10 {
				t.Errorf("%d bytes are held", held)
			}
		})
	}
}

// A balancer that keeps its connection must not lose it to a crowd.
func TestKeptConnectionOutlivesCrowd(t *testing.T) {
	l := opened(t, ok)
	kept := dial(t, l)
	for range regularRequests {
		ask(t, kept)
	}
	for range testCrowd {
		probe(t, l)
	}
	ask(t, kept)
}

// A body that nobody reads must not be waited for, and the response must arrive all the
// same.
func TestRequestWithBodyIsAnsweredAndItsConnectionClosed(t *testing.T) {
	l := opened(t, ok)
	for _, body := range []string{"Content-Length: 2\r\n\r\n", "Content-Length: 1000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n", "Content-Length: 2\r\n\r\nab"} {
		c := dial(t, l)
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n"+body); err != nil {
			t.Fatal(err)
		}
		response, err := io.ReadAll(c)
		if err != nil || !strings.HasPrefix(string(response), "HTTP/1.1 200 ") {
			t.Fatalf("%q: %q, %v", body, response, err)
		}
	}
}

// A listener that is closed must not wait for a place.
func TestCloseEndsAccept(t *testing.T) {
	limits := Small()
	limits.Connections = 1
	l, err := Listen("tcp4", "127.0.0.1:0", limits)
	if err != nil {
		t.Fatal(err)
	}
	dial(t, l)
	first, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = first.Close() }()
	dial(t, l)
	done := make(chan error)
	go func() {
		_, err := l.Accept()
		done <- err
	}()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-done; !errors.Is(err, net.ErrClosed) {
		t.Fatal(err)
	}
}

// A large header must pass while there is room for it, one that is larger than the rest of the
// budget must not, and what they hold must be given back.
func TestLargeHeadersHaveABudget(t *testing.T) {
	const size = 20 << 10
	header := shortFields(size)
	cost := (&headerMeter{}).add([]byte(header))
	limits := Small()
	limits.BodyTimeout = time.Minute
	limits.LargeHeaderBytes, limits.LargeHeaderBudget = 2*size, cost
	l := openedWith(t, limits, ok)
	for range 2 {
		c := dial(t, l)
		r := bufio.NewReader(c)
		for range 2 {
			if _, err := io.WriteString(c, header+"\r\n"); err != nil {
				t.Fatal(err)
			}
			if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusOK {
				t.Fatal(resp, err)
			}
		}
	}
	for range 2 * testConnections { // They owe the end.
		_, _ = io.WriteString(dial(t, l), header)
	}
	probe(t, l)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.headerHeld > cost {
		t.Fatalf("%d bytes are held", l.headerHeld)
	}
}

// A listener must not take the descriptors that a process needs for everything else.
func TestPlacesFollowTheDescriptors(t *testing.T) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	l := &Listener{limits: Limits{Connections: math.MaxInt}}
	if n := l.places(); uint64(n) != limit.Cur/descriptorShare {
		t.Fatalf("%d places of %d descriptors", n, limit.Cur)
	}
	l.limits.Connections = 1
	if n := l.places(); n != 1 {
		t.Fatalf("%d places, want 1", n)
	}
}
