package upstreamhttp

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

const (
	// inlineBodyBytes is the largest body that is sent before the answer is read.
	// It fits the socket's buffer, so that an early answer can't block it.
	inlineBodyBytes = 16 << 10
	// maxStrays is how many answers to earlier requests are passed over.
	maxStrays = 2
	// maxStrayBytes bounds the body of such an answer.
	maxStrayBytes = 256 << 10
)

// exchange is one request on one connection.
type exchange struct {
	client  *Client
	conn    *conn
	ctx     context.Context
	request *Request
	// stop ends the watch for the end of ctx.
	stop func() bool
	// written is closed when a long body was sent, nil for a short one.
	written chan struct{}
	sendErr error
}

func (x *exchange) run() (*Response, error) {
	if err := x.send(); err != nil {
		return nil, x.fail(StageRequest, err)
	}
	for range maxStrays + 1 {
		resp, err := x.header()
		if err != nil {
			return nil, x.fail(StageHeader, err)
		}
		if x.request.Matches == nil || x.request.Matches(resp.Header) {
			return &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, resp: resp, x: x}, nil
		}
		if resp.Close || !skip(resp.Body) {
			return nil, x.fail(StageHeader, &StrayError{Answers: 1})
		}
	}
	return nil, x.fail(StageHeader, &StrayError{Answers: maxStrays + 1})
}

// skip reads the body of an answer to another request. It returns false if that
// fails or the body is too long.
func skip(body io.Reader) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxStrayBytes))
	return err == nil && n < maxStrayBytes
}

// send writes the request in one call, or the body of a long one beside the
// reading of the answer.
func (x *exchange) send() error {
	b := heads.Get().(*bytes.Buffer)
	b.Reset()
	x.request.head(b)
	long := len(x.request.Body) > inlineBodyBytes
	if !long {
		b.Write(x.request.Body)
	}
	_, err := x.conn.Write(b.Bytes())
	heads.Put(b)
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

// header reads the next final header.
func (x *exchange) header() (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(x.conn.in, &http.Request{Method: x.request.Method})
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}

// fail closes the connection and wraps the cause, which is that of ctx if that
// has ended.
func (x *exchange) fail(s Stage, err error) error {
	x.stop()
	x.conn.abort()
	if cause := context.Cause(x.ctx); cause != nil {
		err = cause
	}
	return &BrokenError{Address: x.conn.address, Stage: s, Err: err}
}

// sent tells whether the whole request was sent by now.
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
