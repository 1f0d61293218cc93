package upstreamhttp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/laureltally/laureltally/internal/earlyanswer"
)

const (
	unmarkedHead = "HTTP/1.1 200 OK\r\nX-Id: id\r\n\r\n"
	uploadTime   = 10 * time.Second
)

// sendUpload sends a request with a long body and returns the response once its head has arrived.
// The test fails if the body has been written by then.
func sendUpload(t *testing.T, address string) *Response {
	t.Helper()
	c := New(Options{})
	resp, err := c.Send(t.Context(), address, &Request{Method: http.MethodPost, Target: "/a", Host: "h", Body: make([]byte, earlyanswer.UploadBytes)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(resp.Close)
	select {
	case <-resp.x.written:
		t.Fatalf("the body does not block: written with error %v", resp.x.sendErr)
	default:
	}
	return resp
}

// awaitUpload waits until the write of the body has ended and returns its error.
func awaitUpload(t *testing.T, resp *Response) error {
	t.Helper()
	select {
	case <-resp.x.written:
	case <-time.After(uploadTime):
		t.Fatal("the body is still being written")
	}
	return resp.x.sendErr
}

// Guards against a part of a response that counts as a whole one, as its upstream reset the
// connection while the body of the request was being written: the write gets the error of the
// reset, and the following read returns the end of the stream.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	for name, answer := range map[string]string{
		"HTTP/1.1": unmarkedHead + "the bo",
		"HTTP/1.0": strings.Replace(unmarkedHead, "HTTP/1.1", "HTTP/1.0", 1) + "the bo",
		"long":     unmarkedHead + strings.Repeat("a", readBufferBytes),
	} {
		t.Run(name, func(t *testing.T) {
			received := make(chan struct{})
			address := earlyanswer.Start(t, answer, func(c *net.TCPConn) {
				<-received
				earlyanswer.Reset(c)
			})
			resp := sendUpload(t, address)
			close(received)
			if err := awaitUpload(t, resp); !errors.Is(err, syscall.ECONNRESET) {
				t.Fatalf("the write got error %v", err)
			}
			text, err := io.ReadAll(resp)
			var failed *ConnectionError
			if !errors.As(err, &failed) || failed.Stage != StageBody || !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("complete response of %d bytes, error %v", len(text), err)
			}
		})
	}
}

// Guards against a sound response that counts as broken: its upstream answers before it has read the
// body of the request and ends its side of the connection, whatever it does with the rest of the body.
func TestEndDuringUploadCounts(t *testing.T) {
	for name, tc := range map[string]struct {
		end func(context.Context, *net.TCPConn)
		// want is the error of the write where the response is read after it has ended.
		want error
	}{
		"reads on":   {end: func(_ context.Context, c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }},
		"reads none": {end: func(ctx context.Context, _ *net.TCPConn) { <-ctx.Done() }},
		"closes":     {end: func(context.Context, *net.TCPConn) {}, want: syscall.EPIPE},
	} {
		t.Run(name, func(t *testing.T) {
			received := make(chan struct{})
			address := earlyanswer.Start(t, unmarkedHead+"the body", func(c *net.TCPConn) {
				_ = c.CloseWrite()
				<-received
				tc.end(t.Context(), c)
			})
			resp := sendUpload(t, address)
			close(received)
			if tc.want != nil {
				if err := awaitUpload(t, resp); !errors.Is(err, tc.want) {
					t.Fatalf("the write got error %v", err)
				}
			}
			if text, err := io.ReadAll(resp); string(text) != "the body" || err != nil {
				t.Errorf("got %q, error %v", text, err)
			}
		})
	}
}
