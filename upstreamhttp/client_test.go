package upstreamhttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// upstream starts a scripted server. It calls serve for each connection with the
// connection's number, from zero.
func upstream(t *testing.T, serve func(n int, c net.Conn, in *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String()
}

// readRequest reads one request and returns its id, or false if there is none.
func readRequest(in *bufio.Reader) (string, bool) {
	r, err := http.ReadRequest(in)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.Header.Get("X-Id"), true
}

func respond(c io.Writer, id, body, more string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, more, len(body), body)
}

func send(t *testing.T, c *Client, address, id string) (string, error) {
	t.Helper()
	return sendBody(t, c, address, id, "")
}

func sendBody(t *testing.T, c *Client, address, id, body string) (string, error) {
	t.Helper()
	resp, err := c.Send(t.Context(), address, &Request{
		Method: http.MethodGet, Target: "/a", Host: "h", Header: http.Header{"X-Id": {id}}, Body: []byte(body),
		Matches: func(h http.Header) Match {
			switch h.Get("X-Id") {
			case id:
				return MatchOwn
			case "":
				return MatchUnknown
			}
			return MatchOther
		},
	})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	text, err := io.ReadAll(resp)
	return string(text), err
}

func TestConnectionIsReused(t *testing.T) {
	address := upstream(t, func(n int, c net.Conn, in *bufio.Reader) {
		for {
			id, ok := readRequest(in)
			if !ok {
				return
			}
			respond(c, id, fmt.Sprint(id, n), "")
		}
	})
	c := New(Options{})
	for _, id := range []string{"a", "b"} {
		if got, err := send(t, c, address, id); err != nil || got != id+"0" {
			t.Errorf("got %q %v", got, err)
		}
	}
}

func TestBytesAfterResponseReachNoOtherRequest(t *testing.T) {
	extra := map[string]string{
		"a second response":       "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 5\r\n\r\nwrong",
		"bytes of no response":    "garbage\r\n\r\n",
		"response without length": "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nwrong",
	}
	for name, text := range extra {
		t.Run(name, func(t *testing.T) {
			written := make(chan struct{})
			address := upstream(t, func(n int, c net.Conn, in *bufio.Reader) {
				for {
					id, ok := readRequest(in)
					if !ok {
						return
					}
					respond(c, id, "right-"+id, "")
					if n == 0 && id == "a" {
						fmt.Fprint(c, text)
						close(written)
					}
				}
			})
			c := New(Options{})
			for _, id := range []string{"a", "b"} {
				if got, err := send(t, c, address, id); err != nil || got != "right-"+id {
					t.Errorf("request %s got %q %v", id, got, err)
				}
				// The extra bytes are written before the next request is sent.
				<-written
			}
		})
	}
}

// A late duplicate response arrives where the next response is expected.
func TestLateDuplicateResponseIsSkipped(t *testing.T) {
	address := upstream(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for {
			id, ok := readRequest(in)
			if !ok {
				return
			}
			if id == "b" {
				respond(c, "a", "wrong", "")
			}
			respond(c, id, "right-"+id, "")
		}
	})
	c := New(Options{})
	for _, id := range []string{"a", "b"} {
		if got, err := send(t, c, address, id); err != nil || got != "right-"+id {
			t.Errorf("request %s got %q %v", id, got, err)
		}
	}
}

// A faulty upstream writes an earlier refusal once more while it runs the next request, with its id
// or without one. It must not be taken for the answer to that request: the caller would be told that
// it has not run.
func TestRepeatedRefusalIsNotTakenForTheNextResponse(t *testing.T) {
	refusal := func(id string) string { return "HTTP/1.1 503 Full\r\n" + id + "Content-Length: 0\r\n\r\n" }
	own, none := "X-Id: a\r\n", ""
	for name, tt := range map[string]struct {
		copies []string
		body   int
		want   string
	}{
		"with its id":              {copies: []string{own}, want: "right-b"},
		"twice":                    {copies: []string{own, own}, want: "right-b"},
		"without an id":            {copies: []string{none}},
		"after one with its id":    {copies: []string{own, none}},
		"amid a long body":         {copies: []string{own}, body: 8 << 20, want: "right-b"},
		"amid a long body, no id":  {copies: []string{none}, body: 8 << 20},
		"more often than is borne": {copies: []string{own, own, own}},
	} {
		t.Run(name, func(t *testing.T) {
			address := upstream(t, func(_ int, c net.Conn, in *bufio.Reader) {
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					id := r.Header.Get("X-Id")
					if id == "a" {
						fmt.Fprint(c, refusal(own))
						continue
					}
					for _, copied := range tt.copies {
						fmt.Fprint(c, refusal(copied))
					}
					_, _ = io.Copy(io.Discard, r.Body)
					respond(c, id, "right-"+id, "")
				}
			})
			c := New(Options{})
			if _, err := send(t, c, address, "a"); err != nil {
				t.Fatal(err)
			}
			if c.Idle(address) != 1 {
				t.Fatal("the connection is not kept")
			}
			got, err := sendBody(t, c, address, "b", strings.Repeat("x", tt.body))
			var unmatched *UnmatchedResponseError
			if got != tt.want || (tt.want == "") != errors.As(err, &unmatched) {
				t.Errorf("got %q %v", got, err)
			}
		})
	}
}

// On a new connection nothing else can have been answered.
func TestResponseWithoutIDIsTakenOnANewConnection(t *testing.T) {
	address := upstream(t, func(_ int, c net.Conn, in *bufio.Reader) {
		readRequest(in)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
	})
	if got, err := send(t, New(Options{}), address, "a"); err != nil || got != "x" {
		t.Errorf("got %q %v", got, err)
	}
}

// A late response without a length extends to the end of the connection. What follows
// can't be distinguished from its body, so the request must fail instead of waiting.
func TestLateResponseWithoutLengthFailsRequest(t *testing.T) {
	address := upstream(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for {
			id, ok := readRequest(in)
			if !ok {
				return
			}
			if id == "b" {
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nwrong")
			}
			respond(c, id, "right-"+id, "")
		}
	})
	c := New(Options{})
	if got, err := send(t, c, address, "a"); err != nil || got != "right-a" {
		t.Fatalf("got %q %v", got, err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := send(t, c, address, "b")
		ended <- err
	}()
	select {
	case err := <-ended:
		var unmatched *UnmatchedResponseError
		if !errors.As(err, &unmatched) {
			t.Errorf("got %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("request waits for the end of another response")
	}
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 9\r\n\r\nshort",
		"chunks": "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
	} {
		address := upstream(t, func(_ int, c net.Conn, in *bufio.Reader) {
			readRequest(in)
			fmt.Fprint(c, text)
		})
		_, err := send(t, New(Options{}), address, "a")
		var failed *ConnectionError
		if !errors.As(err, &failed) || failed.Stage != StageBody {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

func TestEarlyResponseClosesConnection(t *testing.T) {
	long := strings.Repeat("x", 8<<20)
	address := upstream(t, func(n int, c net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		respond(c, r.Header.Get("X-Id"), fmt.Sprint("early", n), "")
		if n == 0 {
			time.Sleep(100 * time.Millisecond)
		}
	})
	c := New(Options{})
	resp, err := c.Send(t.Context(), address, &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"X-Id": {"a"}}, Body: []byte(long)})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(resp); err != nil {
		t.Fatal(err)
	}
	resp.Close()
	if n := c.Idle(address); n != 0 {
		t.Errorf("%d connections kept with a partly sent body", n)
	}
}

func TestNothingIsSentAfterContextEnds(t *testing.T) {
	got := make(chan string, 2)
	address := upstream(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for {
			id, ok := readRequest(in)
			if !ok {
				return
			}
			got <- id
			respond(c, id, "x", "")
		}
	})
	c := New(Options{})
	if _, err := send(t, c, address, "a"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := c.Send(ctx, address, &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"X-Id": {"b"}}})
	var dial *DialError
	if !errors.As(err, &dial) {
		t.Errorf("got %v, want DialError", err)
	}
	<-got
	select {
	case id := <-got:
		t.Errorf("request %s was sent", id)
	case <-time.After(50 * time.Millisecond):
	}
}

func TestKeepAliveTimeoutIsRespected(t *testing.T) {
	h := http.Header{"Keep-Alive": {"timeout=3, max=100"}}
	if got := idleFor(h, time.Minute); got != 3*time.Second-idleMargin {
		t.Errorf("got %v", got)
	}
	if got := idleFor(http.Header{}, time.Minute); got != time.Minute {
		t.Errorf("got %v", got)
	}
}

// A canceled request must not reach an upstream that was paused and resumes later, so
// the bytes not yet received have to be discarded.
func TestCanceledRequestResetsConnection(t *testing.T) {
	ended := make(chan error, 1)
	begun := make(chan struct{})
	address := upstream(t, func(_ int, c net.Conn, in *bufio.Reader) {
		readRequest(in)
		close(begun)
		_, err := in.ReadByte()
		ended <- err
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-begun
		cancel()
	}()
	if _, err := New(Options{}).Send(ctx, address, &Request{Method: http.MethodGet, Target: "/", Host: "h"}); err == nil {
		t.Error("answered")
	}
	if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("upstream got %v, want a reset", err)
	}
}
