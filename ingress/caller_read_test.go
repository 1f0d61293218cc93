package ingress

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/laureltally/laureltally/heldbytes"
)

func heldNow(b *heldBytes) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Held()
}

// Guards against a cost of fields below what they take once parsed, with the copy for the attempt.
// Distinct names are dearer than repeated ones; the dearest take 224 bytes.
func TestHeaderFieldsAreCountedAsHeld(t *testing.T) {
	const headers = 16
	for _, format := range []string{"%x:\r\n", "%x:v\r\n", "a:\r\n"} {
		for _, size := range []int{8 << 10, 32 << 10, 100 << 10} {
			var text strings.Builder
			for i := 0; text.Len() < size; i++ {
				text.WriteString(strings.ReplaceAll(format, "%x", strconv.FormatInt(int64(i), 16)))
			}
			raw := "GET / HTTP/1.1\r\nHost: a\r\n" + text.String() + "\r\n"
			var kept []any
			var before, after runtime.MemStats
			counted := 0
			runtime.GC()
			runtime.ReadMemStats(&before)
			for range headers {
				r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
				if err != nil {
					t.Fatal(err)
				}
				kept = append(kept, r, forwardHeader(r.Header))
				n, fields := headerSize(r)
				counted += headerCost(n, fields) + activeRequestBytes
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(kept)
			if live := int(after.HeapAlloc) - int(before.HeapAlloc); live > counted {
				t.Errorf("%q, %d bytes: %d bytes live, %d counted", format, size, live/headers, counted/headers)
			}
		}
	}
}

// Guards against the cost of a header that is given back while its parsed form lives, or is never
// given back. Fails if admits does not reserve.
func TestHeaderIsHeldAsLongAsItsRequest(t *testing.T) {
	c, caller, held := callerPair(t)
	fields := strings.Repeat("a:\r\n", 1000)
	before := heldNow(held)
	if _, err := io.WriteString(caller, fields); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, len(fields))); err != nil {
		t.Fatal(err)
	}
	if n := heldNow(held) - before; n < 900*headerFieldBytes {
		t.Errorf("%d bytes held while it is read", n)
	}
	if !c.begin("a") || !c.admits(len(fields), 1000) {
		t.Fatal("refused")
	}
	if n := heldNow(held) - before - activeRequestBytes; n < 900*headerFieldBytes {
		t.Errorf("%d bytes held while the request lives", n)
	}
	c.end()
	if n := heldNow(held) - before; n != 0 {
		t.Errorf("%d bytes held afterwards", n)
	}
}

// Guards against a body whose lines are taken for fields of the header, which would refuse an
// ordinary caller under load.
func TestLinesOfBodyAreNoFields(t *testing.T) {
	c, caller, held := callerPair(t)
	before := heldNow(held)
	text := "POST / HTTP/1.1\r\nHost: a\r\n\r\n" + strings.Repeat("\n", 3000)
	if _, err := io.WriteString(caller, text); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	if _, err := c.Read(make([]byte, len(text))); err != nil {
		t.Fatal(err)
	}
	if n := heldNow(held) - before; n != 0 {
		t.Errorf("%d bytes held for an ordinary request", n)
	}
}

// Guards against a caller that cannot be disconnected in some state but that of work: each call
// moves the connection on, and stalled says whether it may be disconnected afterwards.
func TestAllButWorkingCallersAreStalled(t *testing.T) {
	c, caller, held := callerPair(t)
	check := func(step string, want bool) {
		t.Helper()
		time.Sleep(2 * time.Millisecond)
		held.mu.Lock()
		defer held.mu.Unlock()
		if got := c.holder.StalledFor(held.now()) > 0; got != want {
			t.Errorf("%s: stalled %v", step, got)
		}
	}
	check("connected", true)
	if _, err := io.WriteString(caller, "G"); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	check("header begun", true)
	c.begin("a")
	check("request begun", false)
	read := make(chan error, 1)
	go func() {
		_, err := c.readBody(io.LimitReader(c, 2), 2, 0, time.Now().Add(time.Minute))
		read <- err
	}()
	time.Sleep(20 * time.Millisecond)
	check("body without its first byte", true)
	if _, err := io.WriteString(caller, "a"); err != nil {
		t.Fatal(err)
	}
	check("body one byte short", true)
	if _, err := io.WriteString(caller, "b"); err != nil {
		t.Fatal(err)
	}
	if err := <-read; err != nil {
		t.Fatal(err)
	}
	check("body complete", false)
	c.end()
	check("idle", true)
}

// Guards against a body without an end: it ends at its time.
func TestBodyEndsAtItsTime(t *testing.T) {
	c, caller, held := callerPair(t)
	c.begin("a")
	before := heldNow(held)
	if _, err := io.WriteString(caller, "a"); err != nil {
		t.Fatal(err)
	}
	defer time.AfterFunc(5*time.Second, func() { caller.Close() }).Stop()
	_, err := c.readBody(io.LimitReader(c, 60<<10), 60<<10, 0, time.Now().Add(100*time.Millisecond))
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("ended with %v", err)
	}
	if n := heldNow(held) - before; n != 0 {
		t.Errorf("%d bytes held for the body that failed", n)
	}
}

// Guards against running the request of a caller that is just being disconnected: its caller
// would lose the response.
func TestRequestOfLeavingCallerIsNotRun(t *testing.T) {
	c, _, held := callerPair(t)
	held.mu.Lock()
	list := held.budget.Hold(held.now().Add(time.Minute), &heldbytes.Holder{}, held.budget.Limit())
	held.mu.Unlock()
	if len(list) != 1 {
		t.Fatalf("%d connections are leaving", len(list))
	}
	if c.begin("a") && c.admits(100, 3) {
		t.Error("the request is admitted")
	}
}

// Guards against requests sent ahead whose bytes in the kernel are not counted. Fails if received
// does not hold the allowance.
func TestRequestsSentAheadAreCounted(t *testing.T) {
	c, caller, held := callerPair(t)
	before := heldNow(held)
	c.begin("a")
	if _, err := io.WriteString(caller, "GET"); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if n := heldNow(held) - before; n != activeRequestBytes+kernelOverhead*callerReceiveBuffer {
		t.Errorf("%d bytes held", n)
	}
	c.end()
	c.begin("b")
	c.end()
	if n := heldNow(held) - before; n != 0 {
		t.Errorf("%d bytes held afterwards", n)
	}
}

// Guards against receive buffers of callers that the kernel lets grow to megabytes: it has to be
// bounded before the handshake.
func TestReceiveBufferOfCallersIsBounded(t *testing.T) {
	_, _, held := callerPair(t)
	s := &Server{heldBytes: held}
	s.o.Settings.Listen = "127.0.0.1:0"
	ln, err := s.listenForCallers(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	caller, err := net.Dial("tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	// The kernel lets the buffer of a connection grow as it is read from.
	const sent = 16 << 20
	go func() { _, _ = caller.Write(make([]byte, sent)) }()
	if _, err := io.CopyN(io.Discard, accepted.(*callerConn).tcp, sent); err != nil {
		t.Fatal(err)
	}
	size := 0
	err = accepted.(*callerConn).raw.Control(func(fd uintptr) {
		size, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF)
	})
	if err != nil || size > kernelOverhead*callerReceiveBuffer {
		t.Errorf("%d bytes, %v", size, err)
	}
}
