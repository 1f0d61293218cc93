package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// pausingClients have their answers read by clients that stop reading for a while. Rule MIXED.
type pausingClients struct {
	w *world
	// rest is how long a client stops reading.
	rest time.Duration

	mu sync.Mutex
	// whole answers are as the server wrote them. Malformed ones hold bytes that are no answer in
	// the protocol, altered ones look complete and are not what the server wrote, and cut ones
	// end early or do not end.
	whole, malformed, altered, cut int
}

// dial opens a channel with a receive buffer of a size.
func dial(address string, buffer int) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) (err error) {
		if e := c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, buffer) }); e != nil {
			return e
		}
		return err
	}}
	return d.Dial("tcp4", address)
}

// open sends a request and reads the head of the answer.
func (c *pausingClients) open(id, head, body string, buffer int) (*http.Response, net.Conn, error) {
	conn, err := dial(c.w.front(1), buffer)
	if err != nil {
		return nil, nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	c.w.note("client sends %s", id)
	fmt.Fprintf(conn, "%sHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 20000\r\nContent-Length: %d\r\n\r\n%s", head, host, id, len(body), body)
	method, _, _ := strings.Cut(head, " ")
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 4<<10), &http.Request{Method: method})
	if err != nil {
		_ = conn.Close()
	}
	return resp, conn, err
}

// stream reads a stream of a number of events. It rests after the first one.
func (c *pausingClients) stream(id string, total int) {
	head := fmt.Sprintf("POST /draft/x HTTP/1.1\r\nX-Model: m0\r\nX-Token-Counts: 100,%d\r\nX-Prompt-Prefix: a1:60,%s:40\r\n", total, id)
	resp, conn, err := c.open(id, head, "{}", 4<<10)
	if err != nil || resp.StatusCode != http.StatusOK {
		c.judge(id, "not begun", 0, total, true, err)
		return
	}
	defer conn.Close()
	in := bufio.NewReaderSize(resp.Body, 4<<10)
	last, ordered := 0, true
	for {
		line, err := in.ReadString('\n')
		if text, ok := strings.CutPrefix(line, "id: "); ok && strings.HasSuffix(line, "\n") {
			n, _ := strconv.Atoi(strings.TrimSpace(text))
			if ordered = ordered && n == last+1; ordered {
				last = n
			}
			if last == 1 {
				time.Sleep(c.rest)
			}
		}
		if err != nil {
			c.judge(id, "events", last, total, ordered, err)
			return
		}
	}
}

// largeBuffer is a receive buffer that holds the part of a long answer that the router reads before
// it writes any of it.
const largeBuffer = 400 << 10

// smallBuffer is a receive buffer that holds less than that.
const smallBuffer = 64 << 10

// download reads a long answer of numbered lines. It rests after the first 64 KB.
func (c *pausingClients) download(id string, size, buffer int) {
	resp, conn, err := c.open(id, fmt.Sprintf("GET /archive/x?bytes=%d HTTP/1.1\r\n", size), "", buffer)
	if err != nil || resp.StatusCode != http.StatusOK {
		c.judge(id, "not begun", 0, size, true, err)
		return
	}
	defer conn.Close()
	in := bufio.NewReaderSize(resp.Body, 32<<10)
	line, lines, ordered := make([]byte, lineBytes), 0, true
	for {
		_, err := io.ReadFull(in, line)
		if err != nil {
			c.judge(id, "lines", lines, size/lineBytes, ordered, err)
			return
		}
		if n, _ := strconv.Atoi(strings.TrimSpace(string(line))); ordered && n != lines {
			ordered = false
			c.w.note("in the answer to %s line %q follows line %d", id, line, lines-1)
		}
		if lines++; lines == (64<<10)/lineBytes {
			time.Sleep(c.rest)
		}
	}
}

// judge takes the end of an answer, of which got parts have arrived in order.
func (c *pausingClients) judge(id, what string, got, total int, ordered bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := "whole"
	var timeout net.Error
	switch complete := errors.Is(err, io.EOF); {
	case complete && ordered && got == total:
		c.whole++
	case complete:
		result = "ALTERED"
		c.altered++
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET), errors.As(err, &timeout) && timeout.Timeout(), err == nil, what == "not begun":
		result = "cut"
		c.cut++
	default:
		result = "MALFORMED"
		c.malformed++
	}
	c.w.note("client has for %s: %s, %d of %d %s, in order %v, then %v", id, result, got, total, what, ordered, err)
}

// slowReaders has clients that stop reading their answers for three seconds: streams twice as long as
// the longest of the site, and long answers of a plain service. Rule MIXED.
func slowReaders(w *world) bool {
	const engines, servers = 3, 3
	w.store.put("config", "main", map[string]any{
		"version": 3, "limits": limits,
		"routes": []map[string]any{
			{"name": "draft", "host": host, "path_prefix": "/draft/", "route_kind": "streaming", "timeout_ms": 20000, "aim_ms": 2500, "gap_aim_ms": 250, "priority": 1, "service": "models", "max_attempts": 1, "sticky": true, "resumable": false},
			{"name": "archive", "host": host, "path_prefix": "/archive/", "route_kind": "idempotent", "timeout_ms": 20000, "aim_ms": 2500, "priority": 2, "service": "portal", "max_attempts": 2},
		},
		"services": []map[string]any{
			{"name": "models", "health_path": "/health", "max_conns": 610, "engine": engineSpec(200000, 72700, "m0")},
			{"name": "portal", "health_path": "/health", "max_conns": 96},
		},
	})
	for n := 2; n < 2+engines; n++ {
		w.startServer(n, fmt.Sprintf("i-%d", n), "models", "-memory", "200000", "-models", "m0", "-gap", "10ms", "-pad", "310")
		w.startSidecar(n, "models", true)
	}
	for n := 11; n < 11+servers; n++ {
		w.startServer(n, fmt.Sprintf("i-%d", n), "portal", "-rate", "1000000")
	}
	w.startIngress(1)
	w.awaitReady(1)
	time.Sleep(2 * time.Second)
	var rest time.Duration
	if w.trouble {
		rest = 3 * time.Second
	}
	streams, downloads := &pausingClients{w: w, rest: rest}, &pausingClients{w: w, rest: rest}
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	var g sync.WaitGroup
	for i := range 24 {
		g.Go(func() {
			time.Sleep(time.Duration(i) * 71 * time.Millisecond)
			for n := 0; ctx.Err() == nil; n++ {
				streams.stream(fmt.Sprintf("%02x%04x", 0x10+i, n), 320)
			}
		})
	}
	for i := range 6 {
		g.Go(func() {
			time.Sleep(time.Duration(i) * 300 * time.Millisecond)
			downloads.download(fmt.Sprintf("%02x%04x", 0xa0+i, 0), 1<<20, largeBuffer)
		})
	}
	g.Wait()
	// These clients never rest; only their receive buffer is smaller.
	small := &pausingClients{w: w}
	buffer := largeBuffer
	if w.trouble {
		buffer = smallBuffer
	}
	for i := range 4 {
		g.Go(func() { small.download(fmt.Sprintf("%02x%04x", 0xb0+i, 0), 1<<20, buffer) })
	}
	g.Wait()
	time.Sleep(time.Second)
	before := w.cpu("front-1")
	time.Sleep(4 * time.Second)
	w.note("after all clients have left, the router takes %.1f processor seconds in 4 s", w.cpu("front-1")-before)
	for _, c := range []struct {
		name string
		*pausingClients
	}{{"long answers at small buffers", small}, {"long answers", downloads}, {"streams", streams}} {
		w.note("%s: whole %d, no answer in the protocol %d, look complete and differ %d, cut or without an end %d", c.name, c.whole, c.malformed, c.altered, c.cut)
	}
	if streams.whole+streams.malformed+streams.altered == 0 {
		panic(errCannotRun{fmt.Errorf("no stream was answered")})
	}
	return streams.malformed+streams.altered+downloads.malformed+downloads.altered > 0
}
