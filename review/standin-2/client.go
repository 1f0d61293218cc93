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
	"time"
)

// answer is what a client has read of the answer to one attempt.
type answer struct {
	status int
	header http.Header
	body   string
	// ids and versions are those of the events, in order.
	ids      []int
	versions []string
	// complete is set if the answer looks complete, as its framing states.
	complete bool
	err      error
}

func (a *answer) last() int {
	if len(a.ids) == 0 {
		return 0
	}
	return a.ids[len(a.ids)-1]
}

// attempt sends one request over a channel of its own and reads the answer to its end.
func attempt(ctx context.Context, address, method, path string, header map[string]string, body string, limit time.Duration) answer {
	d := net.Dialer{Timeout: time.Second}
	conn, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	_ = conn.SetDeadline(time.Now().Add(limit))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, host)
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "X-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", limit.Milliseconds(), len(body), body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		return answer{err: err}
	}
	in := bufio.NewReader(conn)
	resp, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: resp.StatusCode, header: resp.Header}
	a.read(resp.Body)
	return a
}

// read reads the body, event by event.
func (a *answer) read(body io.Reader) {
	in := bufio.NewReader(body)
	var event, all strings.Builder
	for {
		line, err := in.ReadString('\n')
		event.WriteString(line)
		all.WriteString(line)
		if line == "\n" {
			a.event(event.String())
			event.Reset()
		}
		if err != nil {
			a.complete = errors.Is(err, io.EOF)
			if !a.complete {
				a.err = err
			}
			a.body = all.String()
			return
		}
	}
}

func (a *answer) event(text string) {
	for _, line := range strings.Split(text, "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			n, _ := strconv.Atoi(id)
			a.ids = append(a.ids, n)
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			f := strings.Fields(data)
			a.versions = append(a.versions, f[len(f)-1])
		}
	}
}
