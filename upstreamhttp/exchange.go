package upstreamhttp

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/laureltally/laureltally/internal/headlimit"
)

const (
	// inlineBodyBytes is the size of the largest body that is sent before the response is
	// read. It fits the socket's buffer, so that an early response can't block sending.
	inlineBodyBytes = 16 << 10
	// maxUnmatched is the maximum number of responses to earlier requests that are
	// skipped.
	maxUnmatched = 2
	// maxSkippedBytes and skipTimeout bound the body of a response that is skipped.
	maxSkippedBytes = 256 << 10
	skipTimeout     = 200 * time.Millisecond
)

// exchange is one request and its response on one connection.
type exchange struct {
	client  *Client
	conn    *conn
	ctx     context.Context
	request *Request
	// stop cancels the function that aborts the connection when ctx ends.
	stop func() bool
	// written is closed when a long body has been sent. It is nil for a short one.
	written chan struct{}
	sendErr error
}

func (x *exchange) run() (*Response, error) {
	if err := x.send(); err != nil {
		return nil, x.fail(StageRequest, err)
	}
	first := !x.conn.used
	x.conn.used = true
	for n := range maxUnmatched + 1 {
		resp, err := x.header()
		if err != nil {
			return nil, x.fail(StageHeader, err)
		}
		match := MatchOwn
		if x.request.Matches != nil {
			match = x.request.Matches(resp.Header)
		}
		if match == MatchOwn || match == MatchUnknown && first && n == 0 {
			return &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Framing: FramingOf(resp), resp: resp, x: x}, nil
		}
		// Nothing tells whether the request's own response follows.
		if match == MatchUnknown || resp.Close || !x.skip(resp.Body) {
			return nil, x.fail(StageHeader, &UnmatchedResponseError{Responses: n + 1})
		}
	}
	return nil, x.fail(StageHeader, &UnmatchedResponseError{Responses: maxUnmatched + 1})
}

// skip discards the body of a response that nobody needs. It returns false if reading fails
// or the body is too long or takes too long: it may never end.
func (x *exchange) skip(body io.Reader) bool {
	_ = x.conn.SetReadDeadline(time.Now().Add(skipTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxSkippedBytes))
	_ = x.conn.SetReadDeadline(time.Time{})
	return err == nil && n < maxSkippedBytes
}

// send writes the request in one call. A long body is written in a goroutine while the
// response is read.
func (x *exchange) send() error {
	b := requestBuffers.Get().(*bytes.Buffer)
	b.Reset()
	x.request.writeHead(b)
	long := len(x.request.Body) > inlineBodyBytes
	if !long {
		b.Write(x.request.Body)
	}
	_, err := x.conn.Write(b.Bytes())
	requestBuffers.Put(b)
	if err != nil || !long {
		return err
	}
	x.written = make(chan struct{})
	go func() {
		defer close(x.written)
		_, x.sendErr = x.conn.Write(x.request.Body)
	}()
	return nil
}

// header reads the next response header, skipping informational responses.
func (x *exchange) header() (*http.Response, error) {
	buffered, err := x.conn.in.Peek(x.conn.in.Buffered())
	if err == nil {
		err = x.conn.head.begin(buffered)
	}
	if err != nil {
		return nil, err
	}
	defer x.conn.head.end()
	for {
		resp, err := http.ReadResponse(x.conn.in, &http.Request{Method: x.request.Method})
		switch {
		case err != nil && x.conn.head.limit.Exceeded():
			return nil, fmt.Errorf("%w: %w", &headlimit.SizeError{}, err)
		case err != nil || resp.StatusCode >= http.StatusOK:
			return resp, err
		}
	}
}

// fail closes the connection and returns a *ConnectionError. If ctx has ended, it wraps
// the cause of ctx instead of err.
func (x *exchange) fail(s Stage, err error) error {
	x.stop()
	x.conn.abort()
	if cause := context.Cause(x.ctx); cause != nil {
		err = cause
	}
	return &ConnectionError{Address: x.conn.address, Stage: s, Err: err}
}

// sent reports whether the complete request has been sent.
func (x *exchange) sent() bool {
	if x.written == nil {
		return true
	}
	select {
	case <-x.written:
		return x.sendErr == nil
	default:
		return false
	}
}
