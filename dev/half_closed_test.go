package dev

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against an empty but complete response to a caller that has closed the sending half of
// its connection and reads on: its request was given up.
func TestRequestGivenUpForHalfClosedCallerIsNotAnswered(t *testing.T) {
	base, stop := startDev(t)
	defer func() { _ = stop() }()
	c, err := net.Dial("tcp4", strings.TrimPrefix(base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	const body = `{"model":"outlook-writer","messages":[{"role":"user","content":"wool in autumn"}]}`
	if _, err := fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: dev\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", Key, len(body), body); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return
	}
	if text, err := io.ReadAll(resp.Body); err == nil && resp.StatusCode == http.StatusOK && len(text) == 0 {
		t.Errorf("complete response %d without a body", resp.StatusCode)
	}
}
