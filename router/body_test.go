package router

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/laureltally/laureltally/wire"
)

// bodyServer starts a server that reads bodies with a limit of 8 bytes and sends the
// failures to the channel.
func bodyServer(t *testing.T, timeout time.Duration) (string, <-chan *Failure) {
	t.Helper()
	s := &Server{o: Options{BodyTimeout: timeout}.withDefaults()}
	failures := make(chan *Failure, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, f := s.readBody(w, r, 8)
		failures <- f
		if f != nil {
			f.write(w)
		}
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://"), failures
}

// sendPart sends the header of a request with a body of 5 bytes, and the first 3 bytes.
func sendPart(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nabc"); err != nil {
		t.Fatal(err)
	}
	return conn
}

func TestSlowBodyIsRefused(t *testing.T) {
	address, failures := bodyServer(t, 50*time.Millisecond)
	conn := sendPart(t, address)
	defer func() { _ = conn.Close() }()
	if f := <-failures; f == nil || f.Code != wire.CodeBodyTimeout || f.Run != wire.RunStateNotRun {
		t.Fatalf("got %+v", f)
	}
	response, err := io.ReadAll(conn)
	if err != nil || !strings.HasPrefix(string(response), "HTTP/1.1 408 ") {
		t.Fatalf("got %q, %v", response, err)
	}
}

func TestCallerDisconnectsDuringBody(t *testing.T) {
	address, failures := bodyServer(t, time.Minute)
	_ = sendPart(t, address).Close()
	if f := <-failures; f == nil || f.Code != wire.CodeCanceled || f.Run != wire.RunStateNotRun {
		t.Fatalf("got %+v", f)
	}
}

func TestBodyLimit(t *testing.T) {
	address, failures := bodyServer(t, time.Minute)
	for body, want := range map[string]wire.Code{"12345678": "", "123456789": wire.CodeBodyTooLarge} {
		resp, err := http.Post("http://"+address, "text/plain", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		f := <-failures
		if want == "" && f != nil || want != "" && (f == nil || f.Code != want) {
			t.Fatalf("%d bytes: %+v", len(body), f)
		}
	}
}
