package ingress

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/uber-go/tally/v4"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/internal/sockopt"
)

// callerPair returns a counted connection and its caller's end, whose receive buffer is
// small. The VM has 160 MB.
func callerPair(t testing.TB) (*callerConn, net.Conn, *heldBytes) {
	t.Helper()
	return callerPairWithBuffer(t, 4<<10)
}

// callerPairWithBuffer is like callerPair with a size of the caller's receive buffer, in bytes.
func callerPairWithBuffer(t testing.TB, receiveBuffer int) (*callerConn, net.Conn, *heldBytes) {
	t.Helper()
	o := Options{Settings: config.IngressSettings{MemoryMB: 160}, Logger: &log.Logger{Handler: discard.New()}, Metrics: tally.NoopScope}.withDefaults()
	held := newHeldBytes(o, newMetrics(o.Metrics))
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	d := net.Dialer{Control: sockopt.ReceiveBuffer(receiveBuffer)}
	caller, err := d.Dial("tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { caller.Close() })
	accepted, err := callerListener{Listener: ln, held: held}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := accepted.(*callerConn)
	t.Cleanup(func() { c.disconnect("", nil, false); c.Close() })
	return c, caller, held
}

// fill writes until the socket and the buffer are full and returns what was written.
func fill(t *testing.T, c *callerConn) []byte {
	t.Helper()
	var all []byte
	for {
		p := bytes.Repeat([]byte{byte('a' + len(all)%26)}, 1000)
		_ = c.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		n, err := c.Write(p)
		all = append(all, p[:n]...)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return all
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against bytes that are buffered without being counted, lost or reordered. Fails if
// buffer does not reserve, and if Close does not write what is pending.
func TestStalledCallerIsBufferedUpToLimit(t *testing.T) {
	c, caller, held := callerPair(t)
	before := held.budget.Held()
	sent := fill(t, c)
	c.mu.Lock()
	pending := len(c.pending) - c.offset
	c.mu.Unlock()
	if pending != streamBufferBytes {
		t.Errorf("%d bytes pending", pending)
	}
	want := int64(streamBufferBytes - freePendingBytes + kernelOverhead*(streamSendBuffer+upstreamReceiveBuffer))
	if got := held.budget.Held() - before; got != want {
		t.Errorf("%d bytes held for it, want %d", got, want)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(caller); err != nil || !bytes.Equal(got, sent) {
		t.Errorf("caller got %d of %d bytes: %v", len(got), len(sent), err)
	}
	for end := time.Now().Add(5 * time.Second); held.unread() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if n := held.budget.Held(); n != 0 {
		t.Errorf("%d bytes held after the end", n)
	}
}

// Guards against disconnecting a caller that reads slowly in place of one that does not
// read. Fails if writePending does not record progress.
func TestProgressRenewsStall(t *testing.T) {
	c, caller, held := callerPair(t)
	fill(t, c)
	stalled := func() time.Duration {
		held.mu.Lock()
		defer held.mu.Unlock()
		return c.holder.StalledFor(time.Now())
	}
	time.Sleep(300 * time.Millisecond)
	if d := stalled(); d < 300*time.Millisecond {
		t.Errorf("stalled for %v", d)
	}
	b := make([]byte, 24<<10)
	if _, err := io.ReadFull(caller, b); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	if d := stalled(); d == 0 || d > 300*time.Millisecond {
		t.Errorf("stalled for %v after progress", d)
	}
}

// Guards against a budget that shrinks with each stall of a connection that lives on. Fails
// if flushed or end does not release.
func TestEverythingIsGivenBackOnLivingConnection(t *testing.T) {
	c, caller, held := callerPair(t)
	count := func() int64 {
		held.mu.Lock()
		defer held.mu.Unlock()
		return held.budget.Held()
	}
	before := count()
	for range 3 {
		if !c.begin("a") {
			t.Fatal("the connection does not work")
		}
		c.hold(1000)
		sent := fill(t, c)
		c.end()
		if _, err := io.ReadFull(caller, make([]byte, len(sent))); err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(5 * time.Second); count() != before && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if n := count(); n != before {
			t.Fatalf("%d bytes held, %d before", n, before)
		}
	}
}

// Guards against headers that stay reserved once they have been read. Fails if begin does
// not release.
func TestHeaderIsReservedUntilRequestBegins(t *testing.T) {
	c, caller, held := callerPair(t)
	const header = 20 << 10
	if _, err := caller.Write(make([]byte, header)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, header)); err != nil {
		t.Fatal(err)
	}
	if n := held.budget.Held(); n != idleConnectionBytes+header-freeHeaderBytes {
		t.Errorf("%d bytes held for a header", n)
	}
	c.begin("a")
	if n := held.budget.Held(); n != idleConnectionBytes+activeRequestBytes {
		t.Errorf("%d bytes held for a request", n)
	}
}

// Guards against a Write that hangs in a connection whose caller is being disconnected.
// Fails if flushed does not wake it.
func TestDisconnectEndsWrite(t *testing.T) {
	c, _, _ := callerPair(t)
	fill(t, c)
	_ = c.SetWriteDeadline(time.Time{})
	ended := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 10<<10))
		ended <- err
	}()
	time.Sleep(50 * time.Millisecond)
	c.disconnect("test", log.Fields{}, false)
	select {
	case err := <-ended:
		if err == nil {
			t.Error("the write succeeded")
		}
	case <-time.After(5 * time.Second):
		t.Error("the write hangs")
	}
}

// BenchmarkWriteToReadingCaller compares a write to a caller that reads in time with one to a
// plain connection.
func BenchmarkWriteToReadingCaller(b *testing.B) {
	event := bytes.Repeat([]byte("e"), 48)
	for _, plain := range []bool{true, false} {
		name := map[bool]string{true: "plain", false: "counted"}[plain]
		b.Run(name, func(b *testing.B) {
			c, caller, _ := callerPair(b)
			_ = caller.(*net.TCPConn).SetReadBuffer(1 << 20)
			var read atomic.Int64
			go func() {
				n, _ := io.Copy(io.Discard, caller)
				read.Add(n)
			}()
			w := net.Conn(c)
			if plain {
				w = c.tcp
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := w.Write(event); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
