package hosted

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/laureltally/laureltally/heldbytes"
	"github.com/laureltally/laureltally/internal/sockopt"
	"github.com/laureltally/laureltally/platform/platformtest"
)

const (
	smallVMMB = 160
	// callerBuffer is the receive buffer of slow callers, so that a stalled reader soon
	// stops the router.
	callerBuffer = 4 << 10
)

// newSmallInstallation is newPlainInstallation on VMs of the given memory, with bodies of up
// to 16 MB. The path /late/ is like /draft/ but less urgent.
func newSmallInstallation(t *testing.T, memoryMB float64) (*installation, [2]*platformtest.Upstream) {
	t.Helper()
	in := newInstallation(t)
	in.memoryMB = memoryMB
	c := writePlainConfig(in, 1)
	late := draft("portal")
	late.Prefix, late.Priority = "/late/", 2
	c.Routes, c.BodyBytes = append(c.Routes, late), 16<<20
	c.Write(in.store)
	var upstreams [2]*platformtest.Upstream
	for i := range upstreams {
		upstreams[i] = in.upstream(platformtest.UpstreamOptions{ID: fmt.Sprintf("i-%d", i), Service: "portal"})
	}
	in.startRouter()
	return in, upstreams
}

// bigAnswers makes requests whose id begins with "slow" get long responses: a stream of
// streamBytes, or otherwise one of wholeBytes.
func bigAnswers(upstreams [2]*platformtest.Upstream, streamBytes, wholeBytes int) (stream, whole string) {
	event := "data: " + strings.Repeat("e", 250) + "\n\n"
	stream = strings.Repeat(event, streamBytes/len(event))
	whole = strings.Repeat("w", wholeBytes)
	rawStream := fmt.Sprintf("%sContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", rawHead, len(stream), stream)
	rawWhole := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", rawHead, len(whole), whole)
	for _, u := range upstreams {
		u.SetBehavior(func(_ int, r *http.Request) platformtest.Behavior {
			switch {
			case !strings.HasPrefix(r.Header.Get("X-Request-Id"), "slow"):
				return platformtest.Behavior{}
			case strings.HasPrefix(r.URL.Path, "/read/"):
				return platformtest.Behavior{Raw: rawWhole}
			}
			return platformtest.Behavior{Raw: rawStream}
		})
	}
	return stream, whole
}

// slowCaller sends a request and returns its connection, with nothing read.
func (in *installation) slowCaller(id, path string, receiveBuffer int) net.Conn {
	in.t.Helper()
	d := net.Dialer{Control: sockopt.ReceiveBuffer(receiveBuffer)}
	c, err := d.DialContext(in.t.Context(), "tcp4", in.router)
	if err != nil {
		in.t.Fatal(err)
	}
	in.t.Cleanup(func() { c.Close() })
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nContent-Length: 1\r\n\r\nx", path, host, id); err != nil {
		in.t.Fatal(err)
	}
	return c
}

// readAnswer reads a response in steps with a pause after each.
func readAnswer(c net.Conn, step int, pause time.Duration) (string, error) {
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 512), nil)
	if err != nil {
		return "", err
	}
	var body bytes.Buffer
	for {
		if _, err := io.CopyN(&body, resp.Body, int64(step)); err != nil {
			if errors.Is(err, io.EOF) {
				err = nil
			}
			return body.String(), err
		}
		time.Sleep(pause)
	}
}

func (in *installation) counter(name string) (n int64) {
	for _, c := range in.metrics.Snapshot().Counters() {
		if c.Name() == name {
			n += c.Value()
		}
	}
	return n
}

func (in *installation) gauge(name string) float64 {
	for _, g := range in.metrics.Snapshot().Gauges() {
		if g.Name() == name {
			return g.Value()
		}
	}
	return 0
}

// liveBytes returns the memory of the heap and of goroutines' stacks.
func liveBytes() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// Replays the load of section 1.6 of docs/TENANTS-AND-LOAD.md: a thousand callers that read
// one byte a second, half of them streams and half whole responses, beside others. Guards
// against the others being refused, and against a router that holds more than its budget.
// Fails if no stalled caller is chosen, if the budget has no hard limit, and without a
// budget.
func TestThousandSlowReadersLeaveRoomForOthers(t *testing.T) {
	const (
		slow, others = 1000, 600
		othersFor    = 3 * time.Second
		bodyBytes    = 40 << 10
	)
	in, upstreams := newSmallInstallation(t, smallVMMB)
	bigAnswers(upstreams, 90<<10, 200<<10)
	before := liveBytes()
	ctx, cancel := context.WithCancel(t.Context())
	var reading sync.WaitGroup
	defer reading.Wait()
	defer cancel()
	for i := range slow {
		path := "/draft/a"
		if i%2 == 1 {
			path = "/read/a"
		}
		c := in.slowCaller(fmt.Sprintf("slow-%d", i), path, callerBuffer)
		reading.Go(func() {
			b := make([]byte, 1)
			for {
				select {
				case <-ctx.Done():
					return
				case <-time.After(time.Second):
				}
				if _, err := c.Read(b); err != nil {
					return
				}
			}
		})
	}
	budget := heldbytes.LimitFor(smallVMMB)
	var served atomic.Int64
	var peak float64
	var calling sync.WaitGroup
	for i := range others {
		calling.Go(func() {
			r := in.call(platformtest.Call{Path: "/order/a", Body: strings.Repeat("b", bodyBytes)})
			if r.Status == http.StatusOK && r.Complete {
				served.Add(1)
			} else if i%50 == 0 {
				t.Logf("not served: %d %v after %v", r.Status, r.Err, r.Duration)
			}
		})
		time.Sleep(othersFor / others)
		peak = max(peak, in.gauge("held_bytes"))
	}
	calling.Wait()
	memory := liveBytes() - before
	t.Logf("served %d of %d, disconnected %d, held at most %.1f of %.1f MB, memory with the test's own %.1f MB",
		served.Load(), others, in.counter("readers_disconnected"), peak/(1<<20), float64(budget)/(1<<20), float64(memory)/(1<<20))
	if served.Load()*100 < others*98 {
		t.Errorf("%d of %d requests of other callers were served", served.Load(), others)
	}
	// The budget may be exceeded by a quarter. Bytes of callers being disconnected are counted
	// until their connections are closed: a tenth before new connections wait, and more from
	// connections that exist. 1.5 times the budget is 96 MB; without Draining, 120 MB were
	// held with the race detector, and without hardShare 113 MB.
	if peak < 0.9*float64(budget) || peak > 1.5*float64(budget) {
		t.Errorf("%.0f bytes held, budget %d", peak, budget)
	}
	if n := in.counter("readers_disconnected"); n > slow*9/10 {
		t.Errorf("%d of %d slow readers were disconnected", n, slow)
	}
}

// A caller that reads slowly but steadily gets its whole response, long after the request's
// time. Guards against a time limit for the whole of a write; fails if whole responses are
// buffered like streams, since the write deadline is 2.6 s after the request.
func TestSlowButSteadyReaderGetsWholeAnswer(t *testing.T) {
	t.Parallel()
	in, upstreams := newSmallInstallation(t, smallVMMB)
	_, whole := bigAnswers(upstreams, 40<<10, 240<<10)
	begun := time.Now()
	got, err := readAnswer(in.slowCaller("slow", "/read/a", 16<<10), 4<<10, 110*time.Millisecond)
	if err != nil || got != whole {
		t.Errorf("got %d of %d bytes: %v", len(got), len(whole), err)
	}
	if took := time.Since(begun); took < 3*time.Second {
		t.Errorf("took %v, too short for this test", took)
	}
	in.eventually("everything is given back", func() bool { return in.gauge("held_bytes") < 100<<10 })
}

// A stream whose caller does not read is taken from the upstream to its end, so that the
// upstream can finish, and delivered late. Guards against blocking the upstream at once;
// fails with a streamBufferBytes of 1 KB.
func TestStreamOfStalledCallerIsTakenAndDeliveredLate(t *testing.T) {
	t.Parallel()
	in, upstreams := newSmallInstallation(t, smallVMMB)
	stream, _ := bigAnswers(upstreams, 40<<10, 0)
	c := in.slowCaller("slow", "/draft/a", callerBuffer)
	in.eventually("the stream has been taken", func() bool { return in.attemptsEnded("delivered") == 1 })
	time.Sleep(6500 * time.Millisecond)
	if got, err := readAnswer(c, 8<<10, 0); err != nil || got != stream {
		t.Errorf("got %d of %d bytes: %v", len(got), len(stream), err)
	}
}

// Guards against disconnecting a more urgent caller, one that has been stalled for less
// time, or one that reads slowly. Fails if heldbytes.Holder.before compares the times the
// other way round or not the urgencies.
func TestSlowestReaderOfLeastUrgentIsDisconnected(t *testing.T) {
	t.Parallel()
	const vmMB = 16
	in, upstreams := newSmallInstallation(t, vmMB)
	stream, _ := bigAnswers(upstreams, 48<<10, 0)
	const apart = 400 * time.Millisecond
	call := func(id, path string) net.Conn {
		c := in.slowCaller(id, path, callerBuffer)
		time.Sleep(apart)
		return c
	}
	steady := make(chan error, 1)
	reads := in.slowCaller("slow-steady", "/late/a", 16<<10)
	go func() {
		got, err := readAnswer(reads, 1<<10, 100*time.Millisecond)
		if err == nil && got != stream {
			err = io.ErrUnexpectedEOF
		}
		steady <- err
	}()
	time.Sleep(apart)
	urgent := call("slow-urgent", "/draft/a")
	longest := call("slow-longest", "/late/a")
	shorter := call("slow-shorter", "/late/a")
	time.Sleep(heldbytes.MinStall + 2*apart)
	// Two connections' allowances are below 100 KB, and each stalled caller holds more.
	free := int(heldbytes.LimitFor(vmMB)) - int(in.gauge("held_bytes"))
	r := in.call(platformtest.Call{ID: "large", Path: "/order/a", Body: strings.Repeat("b", free-10<<10)})
	if r.Status != http.StatusOK {
		t.Errorf("large body: %+v", r)
	}
	if n := in.counter("readers_disconnected"); n != 1 {
		t.Errorf("%d callers disconnected", n)
	}
	if _, err := readAnswer(longest, 8<<10, 0); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("the longest stalled of the least urgent was not disconnected: %v", err)
	}
	for name, c := range map[string]net.Conn{"urgent": urgent, "shorter": shorter} {
		if got, err := readAnswer(c, 8<<10, 0); err != nil || got != stream {
			t.Errorf("%s: got %d of %d bytes: %v", name, len(got), len(stream), err)
		}
	}
	if err := <-steady; err != nil {
		t.Errorf("the steady reader: %v", err)
	}
}

// A body beyond the budget is refused as not run, with or without a stated length, and small
// requests go on. Guards against reading it; fails if readBody does not reserve.
func TestBodyBeyondBudgetIsRefusedUnread(t *testing.T) {
	t.Parallel()
	in, upstreams := newSmallInstallation(t, 16)
	body := strings.Repeat("b", 8<<20)
	check := func(name string, status int, retryAfter string) {
		t.Helper()
		if status != http.StatusServiceUnavailable || retryAfter == "" {
			t.Errorf("%s: status %d, Retry-After %q", name, status, retryAfter)
		}
	}
	for name, r := range map[string]io.Reader{"length stated": strings.NewReader(body), "length not stated": io.MultiReader(strings.NewReader(body))} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+in.router+"/order/a", r)
		if err != nil {
			t.Fatal(err)
		}
		request.Host = host
		resp, err := in.client.Do(request)
		if err != nil {
			// The connection can be closed while the rest of the body is being sent.
			t.Logf("%s: %v", name, err)
			continue
		}
		resp.Body.Close()
		check(name, resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	if n := upstreams[0].RequestCount() + upstreams[1].RequestCount(); n != 0 {
		t.Errorf("the upstreams got %d requests", n)
	}
	if n := in.counter("bodies_refused"); n != 2 {
		t.Errorf("%d bodies refused", n)
	}
	for _, size := range []int{1, 10 << 10, 4 << 20} {
		if r := in.call(platformtest.Call{Path: "/order/a", Body: body[:size]}); r.Status != http.StatusOK {
			t.Errorf("%d bytes: %+v", size, r)
		}
	}
}

// Callers that send slowly hold bytes as well: most of a long header, or of a body. Guards
// against them filling the memory; fails if headers are not counted, or if a caller that
// owes the rest of its body is not stalled.
func TestSlowSendersLeaveRoomForOthers(t *testing.T) {
	t.Parallel()
	const vmMB, senders, others, sent = 16, 200, 100, 60 << 10
	budget := float64(heldbytes.LimitFor(vmMB))
	for name, head := range map[string]string{
		"header": "POST /order/a HTTP/1.1\r\nX-Long: ",
		"body":   fmt.Sprintf("POST /order/a HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", host, sent+1),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			in, upstreams := newSmallInstallation(t, vmMB)
			served, peak := 0, 0.0
			for i := range senders {
				c, err := net.Dial("tcp4", in.router)
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				if _, err := io.WriteString(c, head+strings.Repeat("x", sent)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(5 * time.Millisecond)
				if i%(senders/others) == 0 {
					if r := in.call(platformtest.Call{Path: "/order/a", Body: "x"}); r.Status == http.StatusOK {
						served++
					}
				}
				peak = max(peak, in.gauge("held_bytes"))
			}
			t.Logf("served %d of %d, held at most %.1f of %.1f MB, disconnected %d", served, others, peak/(1<<20), budget/(1<<20), in.counter("readers_disconnected"))
			if served*100 < others*98 {
				t.Errorf("%d of %d requests of other callers were served", served, others)
			}
			if peak < budget*9/10 || peak > budget*14/10 {
				t.Errorf("%.0f bytes held, budget %.0f", peak, budget)
			}
			if n := upstreams[0].RequestCount() + upstreams[1].RequestCount(); n != served {
				t.Errorf("the upstreams got %d requests, %d served", n, served)
			}
		})
	}
}

// A router that stops delivers what a caller has not read yet. Guards against a shutdown
// that counts only running requests; fails without heldBytes.unread.
func TestStoppingRouterDeliversReadyAnswer(t *testing.T) {
	t.Parallel()
	in, upstreams := newSmallInstallation(t, smallVMMB)
	_, whole := bigAnswers(upstreams, 40<<10, 200<<10)
	c := in.slowCaller("slow", "/read/a", callerBuffer)
	in.eventually("the response has been taken", func() bool { return in.attemptsEnded("delivered") == 1 })
	in.stop()
	time.Sleep(1500 * time.Millisecond)
	select {
	case <-in.stopped:
		t.Error("the router has stopped before the response was read")
	default:
	}
	if got, err := readAnswer(c, 32<<10, 0); err != nil || got != whole {
		t.Errorf("got %d of %d bytes: %v", len(got), len(whole), err)
	}
}

// A caller that sends request after request and reads nothing has one response buffered.
// Guards against responses that pile up; fails if callerConn.begin does not wait.
func TestPipeliningCallerHasOneAnswerBuffered(t *testing.T) {
	t.Parallel()
	const requests = 20
	in, upstreams := newSmallInstallation(t, smallVMMB)
	bigAnswers(upstreams, 0, 200<<10)
	c := in.slowCaller("slow-0", "/read/a", callerBuffer)
	for i := range requests {
		if _, err := fmt.Fprintf(c, "POST /read/a HTTP/1.1\r\nHost: %s\r\nX-Request-Id: slow-%d\r\nContent-Length: 1\r\n\r\nx", host, i+1); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(500 * time.Millisecond)
	if n := upstreams[0].RequestCount() + upstreams[1].RequestCount(); n != 1 {
		t.Errorf("%d requests were served before the first response was read", n)
	}
	in.t.Logf("held %.0f KB", in.gauge("held_bytes")/(1<<10))
}

// A response that is too long to be buffered ends with its caller's request if the caller
// does not read it, and the upstream is not blamed. Fails if SetWriteDeadline of
// callerConn does nothing.
func TestLongAnswerOfStalledCallerIsNotUpstreamsFailure(t *testing.T) {
	t.Parallel()
	in, upstreams := newSmallInstallation(t, smallVMMB)
	bigAnswers(upstreams, 0, 4<<20)
	in.slowCaller("slow", "/read/a", callerBuffer)
	in.eventually("the attempt has ended", func() bool { return in.attemptsEnded("caller_gone") == 1 })
	for _, u := range upstreams {
		if n := u.RequestCount(); n > 1 {
			t.Errorf("%d requests", n)
		}
	}
}
